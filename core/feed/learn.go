package feed

import (
	"context"
	"sync"
	"time"

	"ibisfold.example/core/catalog"
)

// learnTime bounds the time for which confirmations wait for the sources to tell of
// departed targets.
const learnTime = 2 * sourceTime

// startLearning asks, beside the calls of step, for departed targets if that is due.
func (f *Follower) startLearning(ctx context.Context) {
	f.mutex.Lock()
	due := f.unlearned && len(f.peers) > 0
	f.unlearned = false
	f.mutex.Unlock()
	if !due {
		return
	}
	f.reports.Lock()
	defer f.reports.Unlock()
	if f.learning {
		return
	}
	f.learning = true
	go f.learn(ctx)
}

// learn asks all sources what they know, and takes from it the targets that may hold
// flows: this process may have a list that lacks them, and so may a source that has
// just started.
func (f *Follower) learn(ctx context.Context) {
	defer f.learned()
	c, cancel := context.WithTimeout(ctx, learnTime)
	defer cancel()
	group := sync.WaitGroup{}
	for _, u := range f.upstreams() {
		group.Go(func() {
			f.Called(true)
			if b, err := f.call(c, u, true, 0, learnTime); err == nil {
				f.take(b)
			}
		})
	}
	group.Wait()
}

func (f *Follower) upstreams() []Upstream {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := []Upstream{}
	for _, p := range f.peers {
		list = append(list, p.upstream)
	}

	return list
}

// take hands on the targets of a batch that may hold flows. A catalog.State ignores
// those that it lists.
func (f *Follower) take(b Batch) {
	if f.Log != nil {
		f.Log.Learn(b)
	}
	changes := []catalog.Change{}
	for _, d := range b.mayHold() {
		changes = append(changes, d)
	}
	f.report(changes, Confirmation{})
}

// learned lets confirmations pass again.
func (f *Follower) learned() {
	f.reports.Lock()
	defer f.reports.Unlock()
	f.learning = false
	if !f.held.IsZero() {
		f.Confirmed(time.Since(f.held))
		f.held = time.Time{}
	}
}
