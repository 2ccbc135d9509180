package feed

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// spreadTime is the maximum time between two confirmations of the list of targets for an entry
// in normal operation: steer.Policy.SpreadTime.
const spreadTime = 2 * time.Second

// confirmations counts the calls of Confirmed, and those of Change that confirm the list.
type confirmations struct {
	calls   int
	changes int
}

func countConfirmations(f *Follower) *confirmations {
	n := &confirmations{}
	f.Confirmed = func(Confirmation) {
		n.calls++
	}
	f.Change = func(_ []catalog.Change, c Confirmation) {
		if c.Current {
			n.changes++
		}
	}

	return n
}

// Guards against confirmations that continue after the upstream has failed, or that are missing
// after an answer of a current one: a listing, changes, or no changes.
func TestConfirmationsStopWhenUpstreamFails(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list:  emptyListing(5),
		watch: emptyWatch(5),
	}
	f, _ := newTestFollower(service)
	n := countConfirmations(f)
	f.step(context.Background())
	is.Equal(*n, confirmations{calls: 1, changes: 1})
	f.step(context.Background())
	is.Equal(*n, confirmations{calls: 2, changes: 1})
	service.watch = func(Position, time.Duration) (Batch, error) {
		return Batch{
			Position: at(6),
			Changes:  []catalog.Change{targetChange("i-1")},
		}, nil
	}
	f.step(context.Background())
	is.Equal(*n, confirmations{calls: 3, changes: 2})
	service.watch = failingWatch
	service.list = func() (Batch, error) {
		return Batch{}, ErrUnavailable
	}
	for range 4 {
		f.step(context.Background())
	}
	is.Equal(*n, confirmations{calls: 3, changes: 2})
}

// Guards against a list that counts as confirmed although the source that reported it can't
// reach the service: such a source answers listings only.
func TestStaleListingConfirmsNothing(t *testing.T) {
	is := is.New(t)
	old := &Log{}
	old.Add(listingOf(4, targetAt("a", "10.0.0.1:80")))
	old.MarkUnavailable()
	service := &fakeUpstream{
		list: func() (Batch, error) {
			return Batch{}, ErrUnavailable
		},
		watch: failingWatch,
	}
	for _, isSource := range []bool{false, true} {
		f, changes := newTestFollower(service)
		f.Log = &Log{}
		f.Follow(isSource, []Upstream{newTestSource(t, old)})
		calls := 0
		f.Confirmed = func(Confirmation) {
			calls++
		}
		for range 4 {
			f.step(context.Background())
		}
		is.True(len(*changes) > 0)
		is.Equal(calls, 0)
	}
	old.Add(listingOf(5))
	for _, isSource := range []bool{false, true} {
		f, _ := newTestFollower(service)
		f.Log = &Log{}
		f.Follow(isSource, []Upstream{newTestSource(t, old)})
		n := countConfirmations(f)
		for range 2 {
			f.step(context.Background())
		}
		is.Equal(*n, confirmations{calls: 1, changes: 1})
	}
}

// Guards against a source that resumes after a pause and serves its old list as current until
// its own call to the service fails.
func TestSourceAfterPause(t *testing.T) {
	is := is.New(t)
	l := &Log{}
	l.Add(listingOf(4))
	b, err := l.Watch(context.Background(), at(4), time.Millisecond)
	is.NoErr(err)
	is.True(b.Current)
	l.lastAnswer = time.Now().Add(-maxCurrentAge)
	_, err = l.Watch(context.Background(), at(4), time.Millisecond)
	is.True(errors.Is(err, ErrUnavailable))
	_, err = l.Watch(context.Background(), at(3), time.Millisecond)
	is.True(errors.Is(err, ErrUnavailable))
	b, err = l.List()
	is.NoErr(err)
	is.True(!b.Current)
	l.Add(Batch{
		Position: at(4),
	})
	_, err = l.Watch(context.Background(), at(4), time.Millisecond)
	is.NoErr(err)
}

// Guards against an entry whose list counts as out of date in normal operation, so that it resets
// no flow. A source and a process without sources both have to get confirmations within
// spreadTime, also after changes.
func TestConfirmationsAreFrequent(t *testing.T) {
	is := is.New(t)
	waits := []time.Duration{}
	changed := false
	service := &fakeUpstream{
		list: emptyListing(5),
		watch: func(after Position, wait time.Duration) (Batch, error) {
			waits = append(waits, wait)
			changed = !changed
			if !changed {
				return Batch{
					Position: after,
				}, nil
			}

			return Batch{
				Position: at(after.Revision + 1),
				Changes:  []catalog.Change{targetChange("i-1")},
			}, nil
		},
	}
	for _, isSource := range []bool{false, true} {
		f, _ := newTestFollower(service)
		f.Follow(isSource, nil)
		f.step(context.Background())
		f.started = time.Now().Add(-startupTime)
		pause := time.Duration(0)
		waits = nil
		for range 6 {
			before := pause
			pause = f.step(context.Background())
			is.True(before+waits[len(waits)-1]+200*time.Millisecond <= spreadTime)
		}
	}
}

// Guards against a process that was paused during a call and takes the old answer as current.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFollower(&fakeUpstream{
		list: emptyListing(5),
		watch: func(after Position, wait time.Duration) (Batch, error) {
			time.Sleep(wait + serviceTimeout + 50*time.Millisecond)

			return Batch{
				Position: after,
			}, nil
		},
	})
	n := countConfirmations(f)
	f.step(context.Background())
	f.serviceNext = true
	f.step(context.Background())
	is.Equal(*n, confirmations{calls: 1, changes: 1})
}
