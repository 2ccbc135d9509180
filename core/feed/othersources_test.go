package feed

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// Guards against a source whose list lacks targets for as long as the service rejects its calls
// (10 s on one day of docs/incidents/inc-21.md). It gets the changes from another source but does
// not serve them as current, and calls the service no more often than before.
func TestRefusedSourceFollowsOthers(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list:  emptyListing(5),
		watch: failingWatch,
	}
	other := &Log{}
	other.Add(listingOf(5))
	f, changes := newTestFollower(service)
	f.Log = &Log{}
	f.Follow(true, []Upstream{newTestSource(t, other)})
	f.step(context.Background())
	service.list = func() (Batch, error) {
		return Batch{}, ErrUnavailable
	}
	confirmed := 0
	f.Confirmed = func(Confirmation) {
		confirmed++
	}
	other.Add(Batch{
		Position: at(6),
		Changes:  []catalog.Change{targetAt("a", "10.0.0.1:80")},
	})

	// During the first second of an outage it calls the service only.
	f.step(context.Background())
	is.Equal(len(*changes), 1)
	is.Equal(confirmed, 0)
	f.lastAnswer = time.Now().Add(-minOutageTime)
	calls := service.calls
	begin := time.Now()
	for range 5 {
		time.Sleep(f.step(context.Background()))
		other.Add(Batch{
			Position: at(6),
		})
	}
	is.Equal(len(*changes), 2)
	is.Equal((*changes)[1], targetAt("a", "10.0.0.1:80"))
	is.True(confirmed >= 5)
	is.Equal(service.calls, calls+5)
	// Six consecutive failures pause for 50 to 800 ms each, less up to half of it.
	is.True(time.Since(begin) >= (100+200+400+800+800)*time.Millisecond/2)

	_, err := f.Log.Watch(context.Background(), at(5), time.Millisecond)
	is.True(errors.Is(err, ErrUnavailable))
	// It lists the service when that answers again, as its Log lacks the changes in between.
	service.list = func() (Batch, error) {
		return listingOf(9, targetAt("b", "10.0.0.2:80")), nil
	}
	f.step(context.Background())
	b, err := f.Log.Watch(context.Background(), at(5), time.Millisecond)
	is.NoErr(err)
	is.Equal(b.Position, at(9))
	is.True(b.AfterOutage)
}

// Guards against two sources that confirm to each other a list that neither has heard from the
// service.
func TestRefusedSourcesDoNotConfirmEachOther(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list:  emptyListing(5),
		watch: failingWatch,
	}
	logs := []*Log{{}, {}}
	followers := []*Follower{}
	confirmed := 0
	for i := range logs {
		f, _ := newTestFollower(service)
		f.Log = logs[i]
		f.Follow(true, []Upstream{newTestSource(t, logs[1-i])})
		f.step(context.Background())
		f.Confirmed = func(Confirmation) {
			confirmed++
		}
		followers = append(followers, f)
	}
	service.list = func() (Batch, error) {
		return Batch{}, ErrUnavailable
	}
	for _, f := range followers {
		f.step(context.Background())
		f.lastAnswer = time.Now().Add(-minOutageTime)
	}
	for range 3 {
		for _, f := range followers {
			f.step(context.Background())
		}
	}
	is.Equal(confirmed, 0)
}

// Guards against a source that keeps calling another one which is silent or refuses watches, and
// against a watch there that takes longer than the pause.
func TestRefusedSourceSkipsFailedSources(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list:  emptyListing(5),
		watch: failingWatch,
	}
	other := &fakeUpstream{
		watch: failingWatch,
	}
	third := &fakeUpstream{}
	waits := []time.Duration{}
	third.watch = func(after Position, wait time.Duration) (Batch, error) {
		waits = append(waits, wait)
		time.Sleep(wait)

		return Batch{
			Position: after,
		}, nil
	}
	f, _ := newTestFollower(service)
	f.Follow(true, []Upstream{other, third})
	f.step(context.Background())
	service.list = func() (Batch, error) {
		return Batch{}, ErrUnavailable
	}
	f.lastAnswer = time.Now().Add(-2 * minOutageTime)
	first := time.Now()
	for range 6 {
		begin := time.Now()
		pause := f.step(context.Background())
		is.True(time.Since(begin)+pause < maxRetryDelay+200*time.Millisecond)
	}
	is.True(other.calls <= 1+int(time.Since(first)/minAvoidTime))
	is.True(third.calls >= 6)
	is.True(slices.Max(waits) <= maxRetryDelay)
	is.Equal(waits[0], pollWait)
}
