package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// Guards against a list that counts as current for spreadTime after the answer of a source,
// although the source got it from the service up to maxCurrentAge earlier. Covers a listing, a
// watch with changes and a watch without.
func TestConfirmationHasAge(t *testing.T) {
	is := is.New(t)
	const age = 1500 * time.Millisecond
	source := &Log{}
	source.Add(listingOf(4))
	source.Add(Batch{
		Position: at(5),
		Changes:  []catalog.Change{targetAt("a", "10.0.0.1:80")},
	})
	source.lastAnswer = time.Now().Add(-age)
	client := newTestSource(t, source)
	for _, after := range []uint64{0, 4, 5} {
		f, _ := newTestFollower(&fakeUpstream{})
		f.Follow(false, []Upstream{client})
		f.failing = true
		f.position = at(after)
		f.listed = after > 0
		ages := []time.Duration{}
		f.Change = func(_ []catalog.Change, c Confirmation) {
			is.True(c.Current)
			ages = append(ages, c.Age)
		}
		f.Confirmed = func(c Confirmation) {
			ages = append(ages, c.Age)
		}
		before := time.Since(source.lastAnswer)
		b, err := f.call(context.Background(), client, after == 0, 100*time.Millisecond, sourceTimeout)
		is.NoErr(err)
		f.apply(b, b.Current)
		is.True(len(ages) > 0)
		for _, a := range ages {
			is.True(a >= before)
		}
	}
}

// Guards against a confirmation that is held back while the sources are asked for departed
// targets and then counts as new.
func TestPendingConfirmationAges(t *testing.T) {
	is := is.New(t)
	const wait = 100 * time.Millisecond
	f, _ := newTestFollower(&fakeUpstream{})
	f.learning = true
	got := time.Duration(0)
	f.Confirmed = func(c Confirmation) {
		got = c.Age
	}
	f.report(nil, Confirmation{
		Current: true,
		Age:     time.Second,
	})
	is.Equal(got, time.Duration(0))
	time.Sleep(wait)
	f.finishLearning()
	is.True(got >= time.Second+wait)
}

// Guards against an entry whose list is out of date for a part of each second in normal
// operation, because its watches and those of its source end at different times.
func TestFollowerListStaysCurrent(t *testing.T) {
	is := is.New(t)
	const (
		callDelay = 20 * time.Millisecond
		period    = 5 * time.Second
	)
	service := &fakeUpstream{
		list: func() (Batch, error) {
			return listingOf(5), nil
		},
		watch: func(after Position, wait time.Duration) (Batch, error) {
			time.Sleep(wait + callDelay)

			return Batch{
				Position: after,
			}, nil
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), period)
	defer cancel()
	source, _ := newTestFollower(service)
	source.Log = &Log{}
	source.Follow(true, nil)
	follower, _ := newTestFollower(&fakeUpstream{
		list:  service.list,
		watch: service.watch,
	})
	calls := atomic.Int32{}
	follower.Called = func(bool) {
		calls.Add(1)
	}
	at := time.Time{}
	oldest := time.Duration(0)
	follower.Confirmed = func(c Confirmation) {
		now := time.Now()
		if !at.IsZero() {
			oldest = max(oldest, now.Sub(at))
		}
		at = now.Add(-c.Age)
	}
	follower.Follow(false, []Upstream{newTestSource(t, source.Log)})
	group := sync.WaitGroup{}
	for _, f := range []*Follower{source, follower} {
		group.Go(func() {
			_ = f.Run(ctx)
		})
		// Without the margin of sourceServiceWait, the watches of the follower would end just
		// before those of its source.
		time.Sleep(sourceWait - 2*callDelay)
	}
	group.Wait()
	t.Logf("oldest confirmation %v, %d calls of the follower in %v", oldest, calls.Load(), period)
	is.True(oldest > 0)
	is.True(oldest+200*time.Millisecond <= spreadTime)
	is.True(calls.Load() <= 8)
}
