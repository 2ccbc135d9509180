package feed

import (
	"time"

	"ibisfold.example/core/catalog"
)

func (l *Log) setTarget(t catalog.Target) {
	old, ok := l.targets[t.ID]
	if ok && old.target.Address != t.Address {
		l.removeTarget(t.ID)
	}
	l.targets[t.ID] = seenTarget{
		target: t,
		at:     time.Now(),
	}
	l.departed.Return(t)
}

func (l *Log) removeTarget(id string) {
	t, ok := l.targets[id]
	if !ok {
		return
	}
	delete(l.targets, id)
	l.depart(catalog.TargetDeparted{
		Target: t.target,
	})
}

// departFrom notes those of an earlier list that are missing in the present one.
func (l *Log) departFrom(before map[string]seenTarget) {
	for id, t := range before {
		now, ok := l.targets[id]
		if ok && now.target.Address == t.target.Address {
			continue
		}
		l.depart(catalog.TargetDeparted{
			Target: t.target,
		})
	}
}

// depart notes a target that left and reports whether it was unknown.
func (l *Log) depart(d catalog.TargetDeparted) bool {
	now := l.clock()
	l.departed.Expire(now)

	return l.departed.Add(now, d)
}

// listDeparted returns the targets that may hold flows still.
func (l *Log) listDeparted() []catalog.TargetDeparted {
	now := l.clock()
	l.departed.Expire(now)

	return l.departed.List(now)
}

// clock is the time since the first departure.
func (l *Log) clock() time.Duration {
	if l.started.IsZero() {
		l.started = time.Now()
		l.departed.MaxAge = l.MaxAge
	}

	return time.Since(l.started)
}
