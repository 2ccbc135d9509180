package feed

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// Guards against a process that asks a source which has itself just started for the targets
// that left, and confirms its list though another source knows more.
func TestLearnsFromMoreThanTheFirstSource(t *testing.T) {
	is := is.New(t)
	young, old := &Log{}, &Log{}
	young.Add(listingOf(3, targetAt("b", "10.0.0.2:80")))
	old.Add(listingOf(1, targetAt("a", "10.0.0.1:80"), targetAt("b", "10.0.0.2:80")))
	old.Add(listingOf(3, targetAt("b", "10.0.0.2:80")))
	f, _ := newTestFollower(&upstreamStandIn{})
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
	f.Follow(false, []Upstream{sourceOf(t, young), sourceOf(t, old)})
	f.startLearning(context.Background())
	time.Sleep(300 * time.Millisecond)
	lock.Lock()
	defer lock.Unlock()
	f.reports.Lock()
	defer f.reports.Unlock()
	is.True(!f.learning)
	is.True(known["a"])
}

// Guards against followers that never hear what their source learns of departed targets
// after their first listing: one whose watch is open then, and one that watches next.
func TestWatchesTellOfLearnedTargets(t *testing.T) {
	is := is.New(t)
	source := &Log{}
	listing := listingOf(5, targetAt("b", "10.0.0.2:80"))
	source.Add(listing)
	peer := sourceOf(t, source)
	watch := func(wait time.Duration) *catalog.State {
		f, changes := newTestFollower(&upstreamStandIn{})
		f.revision = 5
		b, err := f.call(context.Background(), peer, false, wait, sourceTime)
		is.NoErr(err)
		f.apply(b, true)

		return stateOf(append(listing.changes(false), *changes...))
	}
	began := time.Now()
	time.AfterFunc(100*time.Millisecond, func() {
		source.Learn(listingOf(4, targetAt("a", "10.0.0.1:80"), targetAt("b", "10.0.0.2:80")))
	})
	is.Equal(idsOf(watch(sourceWait).Snapshot().Departed), []string{"a"})
	is.True(time.Since(began) < sourceWait)
	is.Equal(idsOf(watch(10*time.Millisecond).Snapshot().Departed), []string{"a"})
}
