package feed

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// spreadTime is the time within which an entry in normal operation has to hear that its
// list of targets is current: steer.Policy.SpreadTime.
const spreadTime = 2 * time.Second

// confirmations counts what a follower confirms, also with changes.
type confirmations struct {
	alone   int
	changes int
}

func count(f *Follower) *confirmations {
	n := &confirmations{}
	f.Confirmed = func(time.Duration) {
		n.alone++
	}
	f.Change = func(_ []catalog.Change, c Confirmation) {
		if c.Current {
			n.changes++
		}
	}

	return n
}

// Guards against confirmations that go on after the upstream has failed, or that are
// missing after answers of one that is current: a listing, news, and no news.
func TestConfirmationsStopWithTheUpstream(t *testing.T) {
	is := is.New(t)
	service := &upstreamStandIn{
		list:  listOf(5),
		watch: watchOf(5),
	}
	f, _ := newTestFollower(service)
	n := count(f)
	f.step(context.Background())
	is.Equal(*n, confirmations{alone: 1, changes: 1})
	f.step(context.Background())
	is.Equal(*n, confirmations{alone: 2, changes: 1})
	service.watch = func(uint64, time.Duration) (Batch, error) {
		return Batch{
			Revision: 6,
			Changes:  []catalog.Change{targetChange("i-1")},
		}, nil
	}
	f.step(context.Background())
	is.Equal(*n, confirmations{alone: 3, changes: 2})
	service.watch = fails
	service.list = func() (Batch, error) {
		return Batch{}, ErrUnavailable
	}
	for range 4 {
		f.step(context.Background())
	}
	is.Equal(*n, confirmations{alone: 3, changes: 2})
}

// Guards against a list that counts as confirmed though the source that told it had
// lost the service: such a source answers listings only.
func TestOldListingConfirmsNothing(t *testing.T) {
	is := is.New(t)
	old := &Log{}
	old.Add(listingOf(4, targetAt("a", "10.0.0.1:80")))
	old.Fail()
	service := &upstreamStandIn{
		list: func() (Batch, error) {
			return Batch{}, ErrUnavailable
		},
		watch: fails,
	}
	for _, source := range []bool{false, true} {
		f, changes := newTestFollower(service)
		f.Log = &Log{}
		f.Follow(source, []Upstream{sourceOf(t, old)})
		alone := 0
		f.Confirmed = func(time.Duration) {
			alone++
		}
		for range 4 {
			f.step(context.Background())
		}
		is.True(len(*changes) > 0)
		is.Equal(alone, 0)
	}
	old.Add(listingOf(5))
	for _, source := range []bool{false, true} {
		f, _ := newTestFollower(service)
		f.Log = &Log{}
		f.Follow(source, []Upstream{sourceOf(t, old)})
		n := count(f)
		for range 2 {
			f.step(context.Background())
		}
		is.Equal(*n, confirmations{alone: 1, changes: 1})
	}
}

// Guards against a source that was frozen and passes on what was current before, in the
// time until its own call fails.
func TestSourceThatWasFrozen(t *testing.T) {
	is := is.New(t)
	l := &Log{}
	l.Add(listingOf(4))
	b, err := l.Watch(context.Background(), 4, time.Millisecond)
	is.NoErr(err)
	is.True(b.Current)
	l.answered = time.Now().Add(-currentTime)
	_, err = l.Watch(context.Background(), 4, time.Millisecond)
	is.True(errors.Is(err, ErrUnavailable))
	_, err = l.Watch(context.Background(), 3, time.Millisecond)
	is.True(errors.Is(err, ErrUnavailable))
	b, err = l.List()
	is.NoErr(err)
	is.True(!b.Current)
	l.Add(Batch{
		Revision: 4,
	})
	_, err = l.Watch(context.Background(), 4, time.Millisecond)
	is.NoErr(err)
}

// Guards against an entry in normal operation whose list counts as not current, so that
// it resets no flow: each way of following confirms within spreadTime, also after changes.
func TestConfirmationsAreFrequent(t *testing.T) {
	is := is.New(t)
	waits := []time.Duration{}
	news := false
	service := &upstreamStandIn{
		list: listOf(5),
		watch: func(after uint64, wait time.Duration) (Batch, error) {
			waits = append(waits, wait)
			news = !news
			if !news {
				return Batch{
					Revision: after,
				}, nil
			}

			return Batch{
				Revision: after + 1,
				Changes:  []catalog.Change{targetChange("i-1")},
			}, nil
		},
	}
	for _, source := range []bool{false, true} {
		f, _ := newTestFollower(service)
		f.Follow(source, nil)
		f.step(context.Background())
		f.started = time.Now().Add(-settleTime)
		pause := time.Duration(0)
		waits = nil
		for range 6 {
			before := pause
			pause = f.step(context.Background())
			is.True(before+waits[len(waits)-1]+200*time.Millisecond <= spreadTime)
		}
	}
}

// Guards against a process that stood still and takes an answer from before as current.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFollower(&upstreamStandIn{
		list: listOf(5),
		watch: func(after uint64, wait time.Duration) (Batch, error) {
			time.Sleep(wait + serviceTime + 50*time.Millisecond)

			return Batch{
				Revision: after,
			}, nil
		},
	})
	n := count(f)
	f.step(context.Background())
	f.direct = true
	f.step(context.Background())
	is.Equal(*n, confirmations{alone: 1, changes: 1})
}
