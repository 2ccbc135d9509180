package feed

import (
	"time"

	"ibisfold.example/core/catalog"
)

// maxLearnedAge is how long answers to watches include what another source reported.
// An open watch returns it at once; a follower's next watch begins within a second and the
// duration of a call.
const maxLearnedAge = 3 * time.Second

// learnedTarget is a departed target that another source reported. Its report has no revision,
// so nothing shows which followers know of it.
type learnedTarget struct {
	departed  catalog.TargetDeparted
	learnedAt time.Time
}

// Learn records what another source knows as departed targets: those that left, and those that
// it lists and this process does not, which may have left since. They do not count as part of
// the current list. Learn also takes the other source's configuration if it supersedes the known
// one: the service may hold one that can't be used, or that of an older copy.
func (l *Log) Learn(b Batch) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changed := l.learnConfig(b.Changes)
	for _, d := range b.possibleHolders() {
		if l.isListed(d.Target) || !l.addDeparted(d) {
			continue
		}
		changed = true
		l.learned = append(l.learned, learnedTarget{
			departed:  d,
			learnedAt: time.Now(),
		})
	}
	if changed {
		l.notifyWatchers()
	}
}

// LearnConfig takes a configuration that this process was told of, also while it is no source:
// once it is one, the service may hold one that can't be used, or that of an older copy.
func (l *Log) LearnConfig(changes []catalog.Change) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.learnConfig(changes) {
		l.notifyWatchers()
	}
}

// learnConfig takes a configuration of another source and reports whether its content is new.
func (l *Log) learnConfig(changes []catalog.Change) bool {
	known := l.config
	for _, c := range changes {
		if c, ok := c.(catalog.ConfigChange); ok {
			l.setConfig(c.Config)
		}
	}
	if l.config == known || known != nil && l.config.HasContentOf(known) {
		return false
	}
	l.configLearnedAt = time.Now()

	return true
}

// learnedConfig returns the configuration if answers to watches have to include it.
func (l *Log) learnedConfig() []catalog.Change {
	if l.configLearnedAt.IsZero() || time.Since(l.configLearnedAt) >= maxLearnedAge {
		return nil
	}

	return []catalog.Change{
		catalog.ConfigChange{
			Config: l.config,
		},
	}
}

// listLearned returns the targets to include in the answer to a watch.
func (l *Log) listLearned() []catalog.TargetDeparted {
	list := []catalog.TargetDeparted{}
	kept := l.learned[:0]
	for _, t := range l.learned {
		age := time.Since(t.learnedAt)
		if age >= maxLearnedAge || l.isListed(t.departed.Target) {
			continue
		}
		kept = append(kept, t)
		d := t.departed
		d.Age += age
		list = append(list, d)
	}
	l.learned = kept

	return list
}

// isListed reports whether the list has the target at the same address.
func (l *Log) isListed(t catalog.Target) bool {
	x, ok := l.targets[t.ID]

	return ok && x.target.Address == t.Address
}

// learnedSince reports whether another source reported a target or a configuration after
// learnedAt.
func (l *Log) learnedSince(learnedAt time.Time) bool {
	n := len(l.learned)

	return l.configLearnedAt.After(learnedAt) || n > 0 && l.learned[n-1].learnedAt.After(learnedAt)
}
