package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"ibisfold.example/core/catalog"
)

// historyBatches is the number of batches that a Log keeps for peers that are a
// little behind. Others get everything. Each may hold a configuration of 1 MB.
const historyBatches = 16

// currentTime is how long a source's answer from the service counts as current: the
// gatherTime of a source, its watch and the time of the call, rounded up. A source that
// stood still refuses its followers when it goes on.
const currentTime = 2 * time.Second

// Log holds what a source has seen of the service, for its peers. The zero value
// is empty and can't be read yet.
type Log struct {
	// MaxAge is how long targets that left are passed on; zero is catalog.DefaultMaxAge.
	MaxAge time.Duration

	mutex sync.Mutex
	// current means that the last call at the service succeeded.
	current bool
	// answered is when that was.
	answered time.Time
	// revision is that of the newest batch, floor that from which history goes on.
	revision uint64
	floor    uint64
	history  []Batch
	config   *catalog.Config
	targets  map[string]seenTarget
	// departed holds targets that left, also those that another source told of; none of
	// them is in targets at its address. Its clock begins at started.
	departed catalog.Departures
	started  time.Time
	// learned holds those that other sources told of within passOnTime, in that order.
	learned []learnedTarget
	zones   map[string]bool
	// outageEnd is when a listing after an outage came.
	outageEnd time.Time
	// news is closed at the next change.
	news chan struct{}
}

// seenTarget is a target's entry with the time at which it came.
type seenTarget struct {
	target catalog.Target
	at     time.Time
}

// Add notes an answer of the service. Batches have to follow on one another unless
// they are complete; one with a gap before it is ignored.
func (l *Log) Add(b Batch) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !b.Complete && l.targets == nil {
		return
	}
	l.current = true
	l.answered = time.Now()
	before := l.targets
	if b.Complete {
		l.targets = map[string]seenTarget{}
		l.zones = map[string]bool{}
		l.history = nil
		l.floor = b.Revision
	} else if len(b.Changes) > 0 {
		l.history = append(l.history, b)
	}
	if b.AfterOutage {
		l.outageEnd = time.Now()
	}
	l.revision = max(l.revision, b.Revision)
	for _, c := range b.Changes {
		l.merge(c)
	}
	if b.Complete {
		l.departFrom(before)
	}
	if len(l.history) > historyBatches {
		l.floor = l.history[0].Revision
		l.history = slices.Delete(l.history, 0, 1)
	}
	l.wake()
}

// Fail notes that the service did not answer: what peers are told may be old.
func (l *Log) Fail() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current {
		l.current = false
		l.wake()
	}
}

func (l *Log) wake() {
	if l.news != nil {
		close(l.news)
		l.news = nil
	}
}

func (l *Log) merge(c catalog.Change) {
	switch c := c.(type) {
	case catalog.ConfigChange:
		l.config = c.Config
	case catalog.TargetChange:
		l.setTarget(c.Target)
	case catalog.TargetGone:
		l.removeTarget(c.ID)
	case catalog.ZoneChange:
		l.zones[c.Zone] = c.Out
	}
}

// List returns everything, also while the service does not answer: to a process
// that knows nothing yet it is better than nothing. Error: ErrUnavailable.
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
		Revision:    l.revision,
		Complete:    true,
		AfterOutage: !l.outageEnd.IsZero() && time.Since(l.outageEnd) < catalog.LapseGrace,
		Current:     l.isCurrent(),
		Age:         time.Since(l.answered),
		Departed:    l.listDeparted(),
	}
	if l.config != nil {
		b.Changes = append(b.Changes, catalog.ConfigChange{
			Config: l.config,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(l.targets)) {
		t := l.targets[id]
		t.target.ColdLeft = max(0, t.target.ColdLeft-time.Since(t.at))
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

// Watch waits until there is something after a revision, or the service has confirmed that
// there is nothing, at most for wait. So what a peer gets is fresh, and the confirmation
// of a peer is older than the source's by the way between them only. Error:
// ErrUnavailable, at once, if the service does not answer, and after the wait if
// the peer has seen more than this source.
func (l *Log) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	began := time.Now()
	for {
		b, news, err := l.since(after)
		if err != nil || news == nil {
			return b, err
		}
		if l.tells(after, began) {
			return l.last(after)
		}
		select {
		case <-news:
		case <-end.C:
			return l.last(after)
		case <-ctx.Done():
			return l.last(after)
		}
	}
}

// last is the answer to a watch whose wait is over.
func (l *Log) last(after uint64) (Batch, error) {
	b, news, err := l.since(after)
	if err != nil || news == nil {
		return b, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.revision < after {
		return Batch{}, ErrUnavailable
	}

	return Batch{
		Revision: l.revision,
		Current:  true,
		Age:      time.Since(l.answered),
		Departed: l.listLearned(),
	}, nil
}

// tells reports whether a watch that began at a time has an answer though a revision is the
// newest: the service has answered since, or another source told of targets that left.
func (l *Log) tells(revision uint64, began time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.revision == revision && (l.answered.After(began) || l.learnedSince(began))
}

// isCurrent reports whether the service answered the last call, and lately.
func (l *Log) isCurrent() bool {
	return l.current && time.Since(l.answered) < currentTime
}

// since returns what came after a revision, or a channel that is closed when
// something does.
func (l *Log) since(after uint64) (Batch, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isCurrent() || l.targets == nil {
		return Batch{}, nil, ErrUnavailable
	}
	if l.revision <= after {
		if l.news == nil {
			l.news = make(chan struct{})
		}

		return Batch{}, l.news, nil
	}
	if after < l.floor {
		return l.list(), nil, nil
	}
	b := Batch{
		Revision: l.revision,
		Current:  true,
		Age:      time.Since(l.answered),
		Departed: l.listLearned(),
	}
	for _, h := range l.history {
		if h.Revision > after {
			b.AfterOutage = b.AfterOutage || h.AfterOutage
			b.Changes = append(b.Changes, h.Changes...)
		}
	}

	return b, nil, nil
}
