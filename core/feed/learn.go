package feed

import (
	"context"
	"sync"
	"time"

	"ibisfold.example/core/catalog"
)

// maxLearnTime bounds how long confirmations wait for the sources to report departed targets.
const maxLearnTime = 2 * sourceTimeout

// minRelearnPause and maxRelearnPause bound the pause after which a process that still has no
// configuration asks the sources again; it doubles each time.
const (
	minRelearnPause = 2 * time.Second
	maxRelearnPause = 8 * time.Second
)

// startLearning starts to ask the sources for departed targets, concurrently with step, if
// that is due.
func (f *Follower) startLearning(ctx context.Context) {
	f.mutex.Lock()
	hasSources := len(f.sources) > 0
	due := f.learnDue
	f.learnDue = false
	f.mutex.Unlock()
	if !hasSources {
		return
	}
	f.reportMutex.Lock()
	defer f.reportMutex.Unlock()
	// The service may hold only a configuration that can't be used, and a watch at a source
	// does not tell the one in force.
	due = due || !f.configReported && time.Now().After(f.relearnAt)
	if f.learning || !due {
		return
	}
	f.learning = true
	f.relearnPause = min(max(2*f.relearnPause, minRelearnPause), maxRelearnPause)
	f.relearnAt = time.Now().Add(f.relearnPause)
	go f.learn(ctx)
}

// learn lists the catalog from all sources to find the targets that may hold flows: the list
// of this process may lack some of them, and so may that of a source that has just started.
func (f *Follower) learn(ctx context.Context) {
	defer f.finishLearning()
	c, cancel := context.WithTimeout(ctx, maxLearnTime)
	defer cancel()
	group := sync.WaitGroup{}
	for _, u := range f.sourceUpstreams() {
		group.Go(func() {
			f.Called(true)
			if b, err := f.call(c, u, true, 0, maxLearnTime); err == nil {
				f.reportLearned(b)
			}
		})
	}
	group.Wait()
}

func (f *Follower) sourceUpstreams() []Upstream {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := []Upstream{}
	for _, s := range f.sources {
		list = append(list, s.upstream)
	}

	return list
}

// reportLearned reports the targets of a batch that may hold flows, and its configuration,
// which may be newer than that of the service if this came back from an older copy. A
// catalog.State ignores targets that it lists and older configurations.
func (f *Follower) reportLearned(b Batch) {
	if f.Log != nil {
		f.Log.Learn(b)
	}
	changes := []catalog.Change{}
	for _, c := range b.Changes {
		if c, ok := c.(catalog.ConfigChange); ok {
			changes = append(changes, c)
		}
	}
	for _, d := range b.possibleHolders() {
		changes = append(changes, d)
	}
	f.report(changes, Confirmation{})
}

// finishLearning ends the hold on confirmations and reports the one that is pending.
func (f *Follower) finishLearning() {
	f.reportMutex.Lock()
	defer f.reportMutex.Unlock()
	f.learning = false
	if f.pendingConfirmation.Current {
		f.Confirmed(f.pendingConfirmation.since(elapsedSince(f.pendingSince)))
		f.pendingConfirmation = Confirmation{}
	}
}
