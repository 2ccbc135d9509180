package feed

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// followSilentSource runs a follower whose source does not answer and that has listed the service
// at revision 5, until the test ends.
func followSilentSource(t *testing.T, service *fakeUpstream, prepare func(*Follower)) *Follower {
	t.Helper()
	f, _ := newTestFollower(service)
	f.Follow(false, []Upstream{&fakeUpstream{}})
	f.learnDue = false
	f.configReported = true
	f.listed = true
	f.position = at(5)
	prepare(f)
	ctx, cancel := context.WithCancel(context.Background())
	group := sync.WaitGroup{}
	group.Go(func() {
		_ = f.Run(ctx)
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	// The watch at the source has begun.
	time.Sleep(100 * time.Millisecond)

	return f
}

// Guards against an entry that learns of a new target only when its watch at a source that stands
// still times out, 1.5 s later, while callers wait for the owner of their flow (review/6).
func TestRequestedConfirmationInterruptsWatch(t *testing.T) {
	is := is.New(t)
	told := make(chan Confirmation, 1)
	service := &fakeUpstream{
		watch: func(after Position, _ time.Duration) (Batch, error) {
			return Batch{
				Position: at(6),
				Changes:  []catalog.Change{targetChange("i-1")},
			}, nil
		},
	}
	f := followSilentSource(t, service, func(f *Follower) {
		f.Change = func(_ []catalog.Change, c Confirmation) {
			told <- c
		}
	})
	began := time.Now()
	f.RequestConfirmation()
	c := <-told
	is.True(time.Since(began) < sourceTimeout)
	is.True(c.Current)
	is.True(c.MaxAge <= time.Since(began))
	is.Equal(service.calls, 1)
}

// Guards against requests that keep an entry from following its source while the service turns
// it away, or that let such an entry believe that the service was away for all.
func TestFailedConfirmationIsNoOutage(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		watch: failingWatch,
	}
	source := &fakeUpstream{
		watch: emptyWatch(5),
	}
	f, _ := newTestFollower(service)
	f.Follow(false, []Upstream{source})
	f.listed = true
	f.position = at(5)
	f.step(context.Background())
	for range 3 {
		f.RequestConfirmation()
		f.step(context.Background())
		is.True(!f.failing)
	}
	is.Equal(service.calls, 1)
	is.Equal(source.calls, 3)
}

// Guards against an answer that counts as newer than it is: the service may have made it when the
// call began, and made an answer without changes when the wait was over.
func TestMaxAgeOfAnswers(t *testing.T) {
	const delay = 60 * time.Millisecond
	for _, x := range []struct {
		name     string
		position Position
		atLeast  time.Duration
	}{
		{"no change", at(5), 0},
		{"changes", at(6), delay},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			service := &fakeUpstream{
				watch: func(Position, time.Duration) (Batch, error) {
					time.Sleep(delay)

					return Batch{
						Position: x.position,
					}, nil
				},
			}
			f, _ := newTestFollower(service)
			f.position = at(5)
			b, err := f.askService(context.Background(), false, delay, time.Second)
			is.NoErr(err)
			is.True(b.MaxAge >= x.atLeast)
			is.True(b.MaxAge < x.atLeast+delay)
		})
	}
}

// Guards against a follower that takes the answer of its source for newer than the service's
// answer to that source, which may have waited for a source that stood still.
func TestSourceTellsMaxAge(t *testing.T) {
	is := is.New(t)
	const waited = time.Second
	source := &Log{}
	listed := listingOf(4)
	listed.MaxAge = waited
	source.Add(listed)
	b, err := newTestSource(t, source).List(context.Background())
	is.NoErr(err)
	is.True(b.MaxAge >= waited)
	is.True(b.Age < waited)
}

// Guards against a reset on the list of a service that has just come back and may lack entries of
// living targets.
func TestAnswerAfterOutageProvesNoList(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFollower(&fakeUpstream{})
	is.Equal(f.confirmation(&Batch{}, true).MaxAge, time.Duration(0))
	is.Equal(f.confirmation(&Batch{
		AfterOutage: true,
	}, true).MaxAge, maxAge)
	f.restoredAt = time.Now()
	is.Equal(f.confirmation(&Batch{}, true).MaxAge, maxAge)
}

// Guards against a source of an earlier version, which tells no upper bound, whose answers count
// as new.
func TestAnswerWithoutMaxAge(t *testing.T) {
	is := is.New(t)
	p, err := encodeBatch(Batch{})
	is.NoErr(err)
	b, err := decodeBatch(p, failOnInvalid(t))
	is.NoErr(err)
	is.Equal(b.MaxAge, maxAge)
}
