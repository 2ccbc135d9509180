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

// Guards against a list that counts as current for spreadTime from a source's answer, though
// the service told it up to currentTime before: with an answer to each kind of call.
func TestConfirmationTellsItsAge(t *testing.T) {
	is := is.New(t)
	const age = 1500 * time.Millisecond
	source := &Log{}
	source.Add(listingOf(4))
	source.Add(Batch{
		Revision: 5,
		Changes:  []catalog.Change{targetAt("a", "10.0.0.1:80")},
	})
	source.answered = time.Now().Add(-age)
	peer := sourceOf(t, source)
	for _, after := range []uint64{0, 4, 5} {
		f, _ := newTestFollower(&upstreamStandIn{})
		f.Follow(false, []Upstream{peer})
		f.failing = true
		f.revision = after
		ages := []time.Duration{}
		f.Change = func(_ []catalog.Change, c Confirmation) {
			is.True(c.Current)
			ages = append(ages, c.Age)
		}
		f.Confirmed = func(age time.Duration) {
			ages = append(ages, age)
		}
		before := time.Since(source.answered)
		b, err := f.call(context.Background(), peer, after == 0, 100*time.Millisecond, sourceTime)
		is.NoErr(err)
		f.apply(b, b.Current)
		is.True(len(ages) > 0)
		for _, a := range ages {
			is.True(a >= before)
		}
	}
}

// Guards against a confirmation that waits for an answer to the question for departed
// targets and counts as new after that.
func TestWaitingConfirmationAges(t *testing.T) {
	is := is.New(t)
	const wait = 100 * time.Millisecond
	f, _ := newTestFollower(&upstreamStandIn{})
	f.learning = true
	got := time.Duration(0)
	f.Confirmed = func(age time.Duration) {
		got = age
	}
	f.report(nil, Confirmation{
		Current: true,
		Age:     time.Second,
	})
	is.Equal(got, time.Duration(0))
	time.Sleep(wait)
	f.learned()
	is.True(got >= time.Second+wait)
}

// Guards against an entry in normal operation whose list is not current for a part of each
// second, as its watches and its source's end at different times.
func TestListOfFollowerIsCurrentAllTheTime(t *testing.T) {
	is := is.New(t)
	const (
		way    = 20 * time.Millisecond
		period = 5 * time.Second
	)
	service := &upstreamStandIn{
		list: listOf(5),
		watch: func(after uint64, wait time.Duration) (Batch, error) {
			time.Sleep(wait + way)

			return Batch{
				Revision: after,
			}, nil
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), period)
	defer cancel()
	source, _ := newTestFollower(service)
	source.Log = &Log{}
	source.Follow(true, nil)
	follower, _ := newTestFollower(&upstreamStandIn{
		list:  service.list,
		watch: service.watch,
	})
	calls := atomic.Int32{}
	follower.Called = func(bool) {
		calls.Add(1)
	}
	at := time.Time{}
	oldest := time.Duration(0)
	follower.Confirmed = func(age time.Duration) {
		now := time.Now()
		if !at.IsZero() {
			oldest = max(oldest, now.Sub(at))
		}
		at = now.Add(-age)
	}
	follower.Follow(false, []Upstream{sourceOf(t, source.Log)})
	group := sync.WaitGroup{}
	for _, f := range []*Follower{source, follower} {
		group.Go(func() {
			_ = f.Run(ctx)
		})
		// A watch of the follower would end just before one of its source.
		time.Sleep(sourceWait - 2*way)
	}
	group.Wait()
	t.Logf("oldest confirmation %v, %d calls of the follower in %v", oldest, calls.Load(), period)
	is.True(oldest > 0)
	is.True(oldest+200*time.Millisecond <= spreadTime)
	is.True(calls.Load() <= 8)
}
