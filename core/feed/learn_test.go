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

// Guards against a process that asks only one source for departed targets, one that has itself
// just started, and confirms its list although another source knows more.
func TestLearnsFromAllSources(t *testing.T) {
	is := is.New(t)
	young, old := &Log{}, &Log{}
	young.Add(listingOf(3, targetAt("b", "10.0.0.2:80")))
	old.Add(listingOf(1, targetAt("a", "10.0.0.1:80"), targetAt("b", "10.0.0.2:80")))
	old.Add(listingOf(3, targetAt("b", "10.0.0.2:80")))
	f, _ := newTestFollower(&fakeUpstream{})
	lock := sync.Mutex{}
	known := map[string]bool{}
	f.Change = func(changes []catalog.Change, _ Confirmation) {
		lock.Lock()
		defer lock.Unlock()
		for _, c := range changes {
			if d, ok := c.(catalog.TargetDeparted); ok {
				known[d.Target.ID] = true
			}
		}
	}
	f.Confirmed = func(Confirmation) {}
	f.Follow(false, []Upstream{newTestSource(t, young), newTestSource(t, old)})
	f.startLearning(context.Background())
	time.Sleep(300 * time.Millisecond)
	lock.Lock()
	defer lock.Unlock()
	f.reportMutex.Lock()
	defer f.reportMutex.Unlock()
	is.True(!f.learning)
	is.True(known["a"])
}

// Guards against followers that never get what their source learns of departed targets after
// their first listing: one with an open watch at that time, and one that watches later.
func TestWatchesReturnLearnedTargets(t *testing.T) {
	is := is.New(t)
	source := &Log{}
	listing := listingOf(5, targetAt("b", "10.0.0.2:80"))
	source.Add(listing)
	client := newTestSource(t, source)
	watch := func(wait time.Duration) *catalog.State {
		f, stateChanges := newTestFollower(&fakeUpstream{})
		f.position = at(5)
		f.listed = true
		b, err := f.call(context.Background(), client, false, wait, sourceTimeout)
		is.NoErr(err)
		f.apply(b, true)

		return stateOf(append(listing.stateChanges(false, false), *stateChanges...))
	}
	began := time.Now()
	time.AfterFunc(100*time.Millisecond, func() {
		source.Learn(listingOf(4, targetAt("a", "10.0.0.1:80"), targetAt("b", "10.0.0.2:80")))
	})
	is.Equal(memberIDs(watch(sourceWait).Snapshot().Departed), []string{"a"})
	is.True(time.Since(began) < sourceWait)
	is.Equal(memberIDs(watch(10*time.Millisecond).Snapshot().Departed), []string{"a"})
}

func configChange(version uint64) catalog.Change {
	return catalog.ConfigChange{
		Config: &catalog.Config{
			Version: version,
		},
	}
}

// Guards against a source that lists no configuration, or an older one, although it learned
// another from a source: it started while the store held one that can't be used, or came back
// from a copy. Also guards against followers that do not get what it learned.
func TestLearnedConfigIsPassedOn(t *testing.T) {
	is := is.New(t)
	source := &Log{}
	source.Add(listingAt(at(5)))
	client := newTestSource(t, source)
	began := time.Now()
	time.AfterFunc(100*time.Millisecond, func() {
		source.Learn(listingAt(at(4), configChange(9)))
		source.Learn(listingAt(at(3), configChange(7)))
	})
	for _, wait := range []time.Duration{sourceWait, 10 * time.Millisecond} {
		b, err := client.Watch(context.Background(), at(5), wait)
		is.NoErr(err)
		is.Equal(b.Changes, []catalog.Change{configChange(9)})
	}
	is.True(time.Since(began) < sourceWait)
	b, err := client.List(context.Background())
	is.NoErr(err)
	is.Equal(b.Changes, []catalog.Change{configChange(9)})
}

// Guards against a source that sends its whole configuration with each watch after a usual start, in
// which it learns before its first listing what the service tells as well.
func TestLearnedConfigOfServiceIsNotRepeated(t *testing.T) {
	is := is.New(t)
	source := &Log{}
	source.Learn(listingAt(at(5), configChange(9)))
	source.Add(listingAt(at(5), configChange(9)))
	source.Learn(listingAt(at(5), configChange(9)))
	b, err := source.Watch(context.Background(), at(5), time.Millisecond)
	is.NoErr(err)
	is.Equal(len(b.Changes), 0)
}

// Guards against a process that stays without any configuration because no source knew one, or
// none answered, when it started while the store held one that can't be used: changes at its
// source do not bring it either.
func TestLearnsUntilConfigIsKnown(t *testing.T) {
	is := is.New(t)
	followed := &fakeUpstream{
		list: emptyListing(5),
		watch: func(after Position, wait time.Duration) (Batch, error) {
			time.Sleep(wait)

			return emptyWatch(5)(after, wait)
		},
	}
	f, _ := newTestFollower(&fakeUpstream{
		list: emptyListing(5),
	})
	configs := make(chan catalog.Change, 10)
	f.Change = func(changes []catalog.Change, _ Confirmation) {
		for _, c := range changes {
			if c, ok := c.(catalog.ConfigChange); ok {
				configs <- c
			}
		}
	}
	silent := atomic.Bool{}
	silent.Store(true)
	asked := atomic.Int32{}
	known := &fakeUpstream{
		watch: failingWatch,
		list: func() (Batch, error) {
			asked.Add(1)
			if silent.Load() {
				return Batch{}, ErrUnavailable
			}

			return listingAt(at(4), configChange(9)), nil
		},
	}
	f.Follow(false, []Upstream{followed, known})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	time.Sleep(minRelearnPause / 2)
	silent.Store(false)
	select {
	case c := <-configs:
		is.Equal(c, configChange(9))
	case <-time.After(2 * minRelearnPause):
		t.Fatal("no configuration")
	}
	// Afterwards no source is asked any more, and before not more often than it has to be.
	calls := asked.Load()
	is.True(calls <= 2)
	time.Sleep(2*minRelearnPause + sourceWait)
	is.Equal(asked.Load(), calls)
}
