package feed

import (
	"time"

	"ibisfold.example/core/catalog"
)

// passOnTime is how long what another source told is passed on with watches. A watch that
// was open gets it at once; a peer's next one begins within a second and the time of a call.
const passOnTime = 3 * time.Second

// learnedTarget is a target that left, of which this process learned at a time from
// another source. No revision tells which peers know it.
type learnedTarget struct {
	departed catalog.TargetDeparted
	at       time.Time
}

// Learn notes what another source knows: targets that left, and those that it lists
// and this process does not, which may have left since. They are no part of what is
// current.
func (l *Log) Learn(b Batch) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	news := false
	for _, d := range b.mayHold() {
		if l.lists(d.Target) || !l.depart(d) {
			continue
		}
		news = true
		l.learned = append(l.learned, learnedTarget{
			departed: d,
			at:       time.Now(),
		})
	}
	if news {
		l.wake()
	}
}

// listLearned returns the targets to pass on with a watch.
func (l *Log) listLearned() []catalog.TargetDeparted {
	list := []catalog.TargetDeparted{}
	kept := l.learned[:0]
	for _, t := range l.learned {
		age := time.Since(t.at)
		if age >= passOnTime || l.lists(t.departed.Target) {
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

func (l *Log) lists(t catalog.Target) bool {
	x, ok := l.targets[t.ID]

	return ok && x.target.Address == t.Address
}

// learnedSince reports whether there is such a target of after a time.
func (l *Log) learnedSince(at time.Time) bool {
	n := len(l.learned)

	return n > 0 && l.learned[n-1].at.After(at)
}
