package feed

import (
	"context"
	"sync"
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
	f.Confirmed = func(time.Duration) {}
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
