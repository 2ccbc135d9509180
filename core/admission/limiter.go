// Package admission decides how many requests a target may have in progress,
// in which order waiting requests are served, and which agent of a group runs
// a request or owns a flow. It is pure: time and random numbers are arguments.
package admission

import (
	"time"
)

const (
	// goodAnswersPerStep is how many answers in a row must lie within the usual
	// service time before the limit grows by one.
	goodAnswersPerStep = 16
	// coldLimit is the limit of a cold target; it bears "only a little".
	coldLimit = 1
)

// Limiter holds the number of requests that a target may have in progress. It
// starts cold, with a limit of one. The zero value works after setting Slots.
type Limiter struct {
	// Slots is the number of requests that the warm target runs at a time.
	Slots int

	// grown is the limit above coldLimit.
	grown int
	// good counts the answers since the limit last changed.
	good int
	// sum adds up the service times of those answers.
	sum  time.Duration
	boot uint64
	// usual survives a cold start: it describes the warm target.
	usual usualTime
	// ignoreBefore excludes answers to requests that were started before the
	// last cut: they tell nothing about the cold target.
	ignoreBefore time.Duration
}

// Allow returns how many requests the target may have in progress now.
func (l *Limiter) Allow() int {
	return max(0, min(l.Slots, coldLimit+l.grown))
}

// Cold reports whether the limit is still below the target's slots.
func (l *Limiter) Cold() bool {
	return l.Allow() < l.Slots
}

// Usual returns the learned mean service time of the warm target; zero means
// that it is not known yet.
func (l *Limiter) Usual() time.Duration {
	return l.usual.mean()
}

// Started notes that a request was passed to the target.
func (l *Limiter) Started(time.Duration) {}

// Answered notes an answer of the target after the service time took.
func (l *Limiter) Answered(now, took time.Duration) {
	if now-took < l.ignoreBefore {
		return
	}
	if l.usual.farAbove(took) {
		l.cut(now)
		return
	}
	if !l.Cold() {
		l.usual.learn(took)
		return
	}

	l.good++
	l.sum += took
	if l.good < goodAnswersPerStep {
		return
	}
	mean := l.sum / time.Duration(l.good)
	l.good = 0
	l.sum = 0
	if l.usual.within(mean) {
		l.grown++
	}
}

// Failed notes that the target shed or refused a request, or never answered it.
func (l *Limiter) Failed(now time.Duration) {
	l.cut(now)
}

// SetBoot notes the boot identity that the target reports. It returns true if
// the identity changed, which means that the target restarted and is cold. The
// first identity seen is no change; the limiter is cold then anyway.
func (l *Limiter) SetBoot(boot uint64) bool {
	if l.boot == boot {
		return false
	}
	first := l.boot == 0
	l.boot = boot
	if first {
		return false
	}
	l.cut(l.ignoreBefore)

	return true
}

func (l *Limiter) cut(now time.Duration) {
	l.grown = 0
	l.good = 0
	l.sum = 0
	l.ignoreBefore = now
}
