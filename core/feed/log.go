package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"ibisfold.example/core/catalog"
)

// maxHistoryBatches is the number of batches that a Log keeps for followers that are slightly
// behind; others get a complete listing. Each batch may hold a configuration of 1 MB.
const maxHistoryBatches = 16

// maxCurrentAge bounds the age of the service's last answer with which a source counts as
// current: its sourceBatchDelay, its watch and the duration of the call, rounded up. A source
// that resumes after a pause thus refuses watches until the service has answered again.
const maxCurrentAge = 2 * time.Second

// Log holds what a source has seen of the service, and serves it to followers. The zero value
// is empty and can't be read until a complete Batch is added.
type Log struct {
	// MaxAge is how long departed targets are reported to followers; zero means
	// catalog.DefaultMaxAge.
	MaxAge time.Duration

	mutex sync.Mutex
	// reachable means that the last call to the service succeeded.
	reachable bool
	// lastAnswer is when the service last answered.
	lastAnswer time.Time
	// madeAt is the earliest time at which the service can have made that answer.
	madeAt time.Time
	// position is that of the newest batch. history holds the changes after historyStart;
	// all of it is of one era.
	position     Position
	historyStart Position
	history      []Batch
	// config is the one that supersedes all others seen, also if the service came back with an
	// older one.
	config  *catalog.Config
	targets map[string]seenTarget
	// departed holds targets that left, also those that other sources reported; none of them
	// is in targets with the same address. Its times count from clockStart.
	departed   catalog.Departures
	clockStart time.Time
	// learned holds the targets that other sources reported within maxLearnedAge, oldest
	// first.
	learned []learnedTarget
	// configLearnedAt is when another source reported config; zero if the service tells it.
	configLearnedAt time.Time
	zones           map[string]bool
	// outageEnd is when the last batch with AfterOutage came.
	outageEnd time.Time
	// changed is closed at the next change.
	changed chan struct{}
}

// seenTarget is the entry of a target and the time at which it came.
type seenTarget struct {
	target     catalog.Target
	receivedAt time.Time
}

// Add records an answer of the service. A batch that neither is complete nor continues from
// the one before is ignored. A complete one may go back to an earlier position.
func (l *Log) Add(b Batch) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !b.Complete && (l.targets == nil || !b.Position.Continues(l.position)) {
		return
	}
	l.reachable = true
	l.lastAnswer = time.Now()
	l.madeAt = l.lastAnswer.Add(-b.MaxAge)
	before := l.targets
	if b.Complete {
		l.targets = map[string]seenTarget{}
		l.zones = map[string]bool{}
		l.history = nil
		l.historyStart = b.Position
	} else if len(b.Changes) > 0 {
		l.history = append(l.history, b)
	}
	if b.AfterOutage {
		l.outageEnd = time.Now()
	}
	l.position = b.Position
	for _, c := range b.Changes {
		l.merge(c)
	}
	if b.Complete {
		l.departMissing(before)
	}
	if len(l.history) > maxHistoryBatches {
		l.historyStart = l.history[0].Position
		l.history = slices.Delete(l.history, 0, 1)
	}
	l.notifyWatchers()
}

// MarkUnavailable records that the service did not answer, so that what the Log holds may be
// out of date.
func (l *Log) MarkUnavailable() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.reachable {
		l.reachable = false
		l.notifyWatchers()
	}
}

func (l *Log) notifyWatchers() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

func (l *Log) merge(c catalog.Change) {
	switch c := c.(type) {
	case catalog.ConfigChange:
		l.setConfig(c.Config)
		if c.Config.HasContentOf(l.config) {
			// Followers get it with the batch.
			l.configLearnedAt = time.Time{}
		}
	case catalog.TargetChange:
		l.setTarget(c.Target)
	case catalog.TargetGone:
		l.removeTarget(c.ID)
	case catalog.ZoneChange:
		l.zones[c.Zone] = c.Out
	}
}

// setConfig takes a configuration that supersedes the known one.
func (l *Log) setConfig(c *catalog.Config) {
	if l.config == nil || c.Supersedes(l.config) {
		l.config = c
	}
}

// List returns the complete catalog, also while the service does not answer: a process that
// starts without any catalog can still use an old one. Error: ErrUnavailable.
func (l *Log) List() (Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.targets == nil {
		return Batch{}, ErrUnavailable
	}

	return l.list(), nil
}

func (l *Log) list() Batch {
	b := Batch{
		Position:    l.position,
		Complete:    true,
		AfterOutage: !l.outageEnd.IsZero() && time.Since(l.outageEnd) < catalog.LapseGrace,
		Current:     l.isCurrent(),
		Age:         time.Since(l.lastAnswer),
		MaxAge:      elapsedSince(l.madeAt),
		Departed:    l.listDeparted(),
	}
	if l.config != nil {
		b.Changes = append(b.Changes, catalog.ConfigChange{
			Config: l.config,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(l.targets)) {
		t := l.targets[id]
		t.target.ColdLeft = max(0, t.target.ColdLeft-time.Since(t.receivedAt))
		b.Changes = append(b.Changes, catalog.TargetChange{
			Target: t.target,
		})
	}
	for _, z := range slices.Sorted(maps.Keys(l.zones)) {
		b.Changes = append(b.Changes, catalog.ZoneChange{
			Zone: z,
			Out:  l.zones[z],
		})
	}

	return b
}

// Position returns the position of the newest batch.
func (l *Log) Position() Position {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.position
}

// Watch waits at most for wait until there are changes after a position or the service has
// confirmed that there are none. A follower's confirmation is therefore older than the
// source's by the network delay only. A follower that is still in an earlier era gets a
// listing. Error: ErrUnavailable, at once if the source is not current, and after the wait if
// the follower has seen a later position than this source.
func (l *Log) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	began := time.Now()
	for {
		b, changed, err := l.changesSince(after)
		if err != nil || changed == nil {
			return b, err
		}
		if l.hasAnswer(after, began) {
			return l.finalBatch(after)
		}
		select {
		case <-changed:
		case <-end.C:
			return l.finalBatch(after)
		case <-ctx.Done():
			return l.finalBatch(after)
		}
	}
}

// finalBatch is the answer to a watch that no change has ended.
func (l *Log) finalBatch(after Position) (Batch, error) {
	b, changed, err := l.changesSince(after)
	if err != nil || changed == nil {
		return b, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.position.Before(after) {
		return Batch{}, ErrUnavailable
	}

	return Batch{
		Position: l.position,
		Current:  true,
		Age:      time.Since(l.lastAnswer),
		MaxAge:   elapsedSince(l.madeAt),
		Departed: l.listLearned(),
		Changes:  l.learnedConfig(),
	}, nil
}

// hasAnswer reports whether a watch from a position that is still the newest can be answered:
// since it began the service has answered, or another source reported departed targets.
func (l *Log) hasAnswer(after Position, began time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.position == after && (l.lastAnswer.After(began) || l.learnedSince(began))
}

// isCurrent reports whether the last call to the service succeeded, less than maxCurrentAge
// ago.
func (l *Log) isCurrent() bool {
	return l.reachable && time.Since(l.lastAnswer) < maxCurrentAge
}

// changesSince returns the changes after a position, or if there are none a channel that is
// closed at the next one.
func (l *Log) changesSince(after Position) (Batch, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isCurrent() || l.targets == nil {
		return Batch{}, nil, ErrUnavailable
	}
	if !after.Before(l.position) {
		if l.changed == nil {
			l.changed = make(chan struct{})
		}

		return Batch{}, l.changed, nil
	}
	if after.Before(l.historyStart) {
		return l.list(), nil, nil
	}
	b := Batch{
		Position: l.position,
		Current:  true,
		Age:      time.Since(l.lastAnswer),
		MaxAge:   elapsedSince(l.madeAt),
		Departed: l.listLearned(),
		Changes:  l.learnedConfig(),
	}
	for _, h := range l.history {
		if after.Before(h.Position) {
			b.AfterOutage = b.AfterOutage || h.AfterOutage
			b.Changes = append(b.Changes, h.Changes...)
		}
	}

	return b, nil, nil
}
