// Package admission decides how many requests a target may have in progress,
// in which order waiting requests are served, and which agent of a group runs
// a request or owns a flow. It is pure: time and random numbers are arguments.
package admission

import "time"

const (
	// coldLimit is the limit of a cold target, which can bear little load.
	coldLimit = 1
	// firstBatchAnswers is the number of answers in a batch while the limit is
	// coldLimit, and minFirstBatches the number of batches in a row that must be
	// as fast as the baseline before the limit first grows. That step is the risky
	// one: see docs/decisions/0010-cold-start-growth.md.
	firstBatchAnswers = 32
	minFirstBatches   = 2
	// nextBatchAnswers is the number of answers in the batch before each later
	// step.
	nextBatchAnswers = 16
	// learnBatches is the number of batches in a row without faster service after
	// which they become the baseline of a target whose baseline is unknown or only
	// suggested. relearnBatches is the same for a target whose learned baseline no
	// longer holds.
	learnBatches   = 6
	relearnBatches = 16
	// probationBatchAnswers is the number of answers in a batch of the probation
	// after an alarm. The limit is restored if the mean of one of
	// maxProbationBatches batches is as fast as the baseline. Without a probation,
	// a stall of the VM, which delays the requests in progress together and so
	// raises the alarm too, would cost most of the capacity for seconds, while the
	// limit grows from 1 again.
	probationBatchAnswers = 8
	maxProbationBatches   = 3
	// improvementFactor is the ratio to the best batch mean below which a batch
	// counts as faster service.
	improvementFactor = 0.95
	// coldRestartFactor is the ratio to the best batch mean above which the target
	// counts as cold again.
	coldRestartFactor = 1.4
)

// Limiter decides how many requests a target may have in progress. It starts with
// a limit of one, as for a cold target. Slots must be set; the zero value of all
// other fields is ready to use.
type Limiter struct {
	// Slots is the number of requests that the warm target runs at a time.
	Slots int

	// growth is the part of the limit above coldLimit.
	growth int
	// answers is the number of answers in the current batch, sum the sum of their
	// service times. matchingBatches is the number of batches in a row that were
	// as fast as the baseline.
	answers         int
	sum             time.Duration
	matchingBatches int
	// growthBeforeAlarm is the growth to restore while the target is on probation
	// after an alarm, else zero. probationBatchesLeft is the number of batches in
	// which it can still show that it is as fast as the baseline.
	growthBeforeAlarm    int
	probationBatchesLeft int
	// alarmed is true if the alarm was raised in the current batch.
	alarmed bool
	boot    uint64
	// baseline describes the warm target, so it survives a cold start.
	baseline serviceBaseline
	// suggested is true while the baseline comes from SuggestServiceTime.
	suggested bool
	alarm     slowAlarm
	// plateau learns the baseline of a cold target whose service gets no faster.
	plateau plateau
	// ignoreBefore is the time of the last reset to cold. Answers to requests that
	// started earlier are ignored, because they say nothing about the cold
	// target.
	ignoreBefore time.Duration
}

// CurrentLimit returns the number of requests that the target may have in
// progress now.
func (l *Limiter) CurrentLimit() int {
	return max(0, min(l.Slots, coldLimit+l.growth))
}

// Cold reports whether the limit is below the target's slots.
func (l *Limiter) Cold() bool {
	return l.CurrentLimit() < l.Slots
}

// ServiceTime returns the learned mean service time of the warm target, or zero
// while it is not known. A suggested service time is not returned, so it is not
// passed on to peers.
func (l *Limiter) ServiceTime() time.Duration {
	if l.suggested {
		return 0
	}

	return l.baseline.mean()
}

// Started is called when a request is passed to the target. The limiter learns
// from answers and failures alone, so it does nothing.
func (l *Limiter) Started(time.Duration) {}

// Answered records an answer that the target gave after the service time took.
func (l *Limiter) Answered(now, took time.Duration) {
	if now-took < l.ignoreBefore {
		return
	}
	if l.alarm.observe(&l.baseline, took) {
		if l.growth > 0 {
			l.startProbation(now)
			return
		}
		l.alarm = slowAlarm{}
		l.alarmed = true
		l.growthBeforeAlarm = 0
	}
	if !l.Cold() {
		l.suggested = false
		l.baseline.learn(took)
		return
	}

	l.answers++
	l.sum += took
	if l.growth == 0 {
		l.plateau.learn(took)
	}
	if l.answers >= l.batchSize() {
		l.endBatch()
	}
}

// Failed resets the limit to cold because the target shed or refused a request,
// never answered it, or may be cold for another reason.
func (l *Limiter) Failed(now time.Duration) {
	l.resetToCold(now)
}

// SetBoot sets the boot identity that the target reports. It returns true if the
// identity changed, which means that the target restarted and is cold. The first
// identity is not a change; the limiter starts cold anyway.
func (l *Limiter) SetBoot(boot uint64) bool {
	if l.boot == boot {
		return false
	}
	first := l.boot == 0
	l.boot = boot
	if first {
		return false
	}
	l.resetToCold(l.ignoreBefore)

	return true
}

// batchSize returns the number of answers that complete the current batch.
func (l *Limiter) batchSize() int {
	if l.growthBeforeAlarm > 0 {
		return probationBatchAnswers
	}
	if l.growth == 0 {
		return firstBatchAnswers
	}

	return nextBatchAnswers
}

// endBatch evaluates the current batch. It grows the limit by one if enough
// batches in a row were as fast as the baseline, or if a plateau of the cold
// target gives a new baseline.
func (l *Limiter) endBatch() {
	mean := l.sum / time.Duration(l.answers)
	alarmed := l.alarmed
	l.answers = 0
	l.sum = 0
	l.alarmed = false

	if l.growthBeforeAlarm > 0 {
		l.endProbation(mean)
		return
	}
	if l.growth == 0 && l.plateau.addBatch(mean, l.plateauBatches()) {
		l.baseline = l.plateau.baseline
		l.suggested = false
		l.grow()
		return
	}
	if alarmed || !l.baseline.matches(mean) {
		l.matchingBatches = 0
		return
	}
	l.matchingBatches++
	if l.growth > 0 || l.matchingBatches >= minFirstBatches {
		l.grow()
	}
}

// plateauBatches returns the number of batches in a row without faster service
// that make a new baseline.
func (l *Limiter) plateauBatches() int {
	if l.baseline.known() && !l.suggested {
		return relearnBatches
	}

	return learnBatches
}

// endProbation evaluates a batch of the probation. It restores the limit from
// before the alarm if the target is as fast as the baseline; after the last batch
// it leaves the limit to grow from coldLimit.
func (l *Limiter) endProbation(mean time.Duration) {
	l.probationBatchesLeft--
	switch {
	case l.baseline.matches(mean):
		l.growth = l.growthBeforeAlarm - 1
		l.growthBeforeAlarm = 0
		l.grow()
	case l.probationBatchesLeft == 0:
		l.growthBeforeAlarm = 0
	}
}

// startProbation resets the limit because of slow answers and puts the target on
// probation.
func (l *Limiter) startProbation(now time.Duration) {
	growth := l.growth
	l.resetToCold(now)
	l.growthBeforeAlarm = growth
	l.probationBatchesLeft = maxProbationBatches
}

func (l *Limiter) grow() {
	l.growth++
	l.matchingBatches = 0
	l.plateau = plateau{}
	l.alarm = slowAlarm{}
}

func (l *Limiter) resetToCold(now time.Duration) {
	l.growth = 0
	l.growthBeforeAlarm = 0
	l.answers = 0
	l.sum = 0
	l.alarmed = false
	l.matchingBatches = 0
	l.plateau = plateau{}
	l.alarm = slowAlarm{}
	l.ignoreBefore = now
}
