// Package admission decides how many requests a target may have in progress,
// in which order waiting requests are served, and which agent of a group runs
// a request or owns a flow. It is pure: time and random numbers are arguments.
package admission

import "time"

const (
	// coldLimit is the limit of a cold target; it bears "only a little".
	coldLimit = 1
	// firstBatch and firstBatches are the answers and batches in a row that must
	// be usual before the limit leaves coldLimit. The first step is the risky one:
	// see docs/decisions/0010-cold-start-growth.md.
	firstBatch   = 32
	firstBatches = 2
	// nextBatch is the number of usual answers before each later step.
	nextBatch = 16
	// learnBatches is how many batches in a row must show no faster service before
	// an unknown usual time is taken from them; relearnBatches is the same for a
	// target whose known usual time no longer holds.
	learnBatches   = 6
	relearnBatches = 16
	// probationBatch is the number of answers after an alarm whose mean decides
	// whether the target was only held up, probationBatches how often it is tried.
	// Requests that a stall of the VM delays together raise the alarm as well, and
	// growing anew from 1 would cost most of the capacity for seconds.
	probationBatch   = 8
	probationBatches = 3
	// improvement is the factor under which a batch counts as faster service.
	improvement = 0.95
	// setback is the factor above which a batch counts as another cold start.
	setback = 1.4
)

// Limiter holds the number of requests that a target may have in progress. It
// starts cold, with a limit of one. The zero value works after setting Slots.
type Limiter struct {
	// Slots is the number of requests that the warm target runs at a time.
	Slots int

	// grown is the limit above coldLimit.
	grown int
	// answers and sum describe the current batch, good the usual batches in a row.
	answers int
	sum     time.Duration
	good    int
	// resume is the growth to return to while the target is on probation after an
	// alarm, tries the number of batches left to show that it is as fast as before.
	resume int
	tries  int
	// slow is true if the alarm was raised in the current batch.
	slow bool
	boot uint64
	// usual survives a cold start: it describes the warm target.
	usual usualTime
	// suggested is true while usual is what Suggest gave.
	suggested bool
	alarm     slowAlarm
	// plateau learns the usual time of a cold target whose service gets no faster.
	plateau plateau
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
// that it is not known yet. What others suggested is not passed on.
func (l *Limiter) Usual() time.Duration {
	if l.suggested {
		return 0
	}

	return l.usual.mean()
}

// Started notes that a request was passed to the target.
func (l *Limiter) Started(time.Duration) {}

// Answered notes an answer of the target after the service time took.
func (l *Limiter) Answered(now, took time.Duration) {
	if now-took < l.ignoreBefore {
		return
	}
	if l.alarm.raise(&l.usual, took) {
		if l.grown > 0 {
			l.suspect(now)
			return
		}
		l.alarm = slowAlarm{}
		l.slow = true
		l.resume = 0
	}
	if !l.Cold() {
		l.suggested = false
		l.usual.learn(took)
		return
	}

	l.answers++
	l.sum += took
	if l.grown == 0 {
		l.plateau.learn(took)
	}
	if l.answers >= l.batch() {
		l.endBatch()
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

func (l *Limiter) batch() int {
	if l.resume > 0 {
		return probationBatch
	}
	if l.grown == 0 {
		return firstBatch
	}

	return nextBatch
}

// endBatch grows the limit by one if enough batches in a row were usual.
func (l *Limiter) endBatch() {
	mean := l.sum / time.Duration(l.answers)
	slow := l.slow
	l.answers = 0
	l.sum = 0
	l.slow = false

	if l.resume > 0 {
		l.endProbation(mean)
		return
	}
	if l.grown == 0 && l.plateau.reached(mean, l.patience()) {
		l.usual = l.plateau.usual
		l.suggested = false
		l.grow()
		return
	}
	if slow || !l.usual.within(mean) {
		l.good = 0
		return
	}
	l.good++
	if l.grown > 0 || l.good >= firstBatches {
		l.grow()
	}
}

// patience is how many batches without faster service make a new usual time.
func (l *Limiter) patience() int {
	if l.usual.known() && !l.suggested {
		return relearnBatches
	}

	return learnBatches
}

// endProbation returns to the limit before the alarm if the target is as fast as
// before, and starts anew from 1 if it is not after a few batches.
func (l *Limiter) endProbation(mean time.Duration) {
	l.tries--
	switch {
	case l.usual.within(mean):
		l.grown = l.resume - 1
		l.resume = 0
		l.grow()
	case l.tries == 0:
		l.resume = 0
	}
}

// suspect cuts the limit because of slow answers and puts the target on probation.
func (l *Limiter) suspect(now time.Duration) {
	grown := l.grown
	l.cut(now)
	l.resume = grown
	l.tries = probationBatches
}

func (l *Limiter) grow() {
	l.grown++
	l.good = 0
	l.plateau = plateau{}
	l.alarm = slowAlarm{}
}

func (l *Limiter) cut(now time.Duration) {
	l.grown = 0
	l.resume = 0
	l.answers = 0
	l.sum = 0
	l.slow = false
	l.good = 0
	l.plateau = plateau{}
	l.alarm = slowAlarm{}
	l.ignoreBefore = now
}
