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
		target:     t,
		receivedAt: time.Now(),
	}
	l.departed.Return(t)
}

func (l *Log) removeTarget(id string) {
	t, ok := l.targets[id]
	if !ok {
		return
	}
	delete(l.targets, id)
	l.addDeparted(catalog.TargetDeparted{
		Target: t.target,
	})
}

// departMissing records as departed the targets of an earlier list that the present one lacks
// or has at another address.
func (l *Log) departMissing(before map[string]seenTarget) {
	for id, t := range before {
		now, ok := l.targets[id]
		if ok && now.target.Address == t.target.Address {
			continue
		}
		l.addDeparted(catalog.TargetDeparted{
			Target: t.target,
		})
	}
}

// addDeparted records a departed target and reports whether it is new.
func (l *Log) addDeparted(d catalog.TargetDeparted) bool {
	now := l.clock()
	l.departed.Expire(now)

	return l.departed.Add(now, d)
}

// listDeparted returns the departed targets that may still hold flows.
func (l *Log) listDeparted() []catalog.TargetDeparted {
	now := l.clock()
	l.departed.Expire(now)

	return l.departed.List(now)
}

// clock returns the time since its first call, as the clock of departed.
func (l *Log) clock() time.Duration {
	if l.clockStart.IsZero() {
		l.clockStart = time.Now()
		l.departed.MaxAge = l.MaxAge
	}

	return time.Since(l.clockStart)
}
