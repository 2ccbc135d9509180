package admission

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the time after which an offer counts half.
	evidenceHalfLife = 5 * time.Second
	// refusalSlope is how much utilisation one refusal per offer more stands for.
	refusalSlope = 0.8
	// toleranceLeast is the difference between report and evidence that is always
	// believed; toleranceFew is added over the root of the number of offers.
	toleranceLeast = 0.1
	toleranceFew   = 0.5
)

// evidence is what an agent has seen of a target itself: offers and refusals.
type evidence struct {
	offers   float64
	refusals float64
	last     time.Duration
}

func (e *evidence) decay(now time.Duration) {
	f := decay(now-e.last, evidenceHalfLife)
	e.offers *= f
	e.refusals *= f
	e.last = max(e.last, now)
}

func (e *evidence) offer(now time.Duration) {
	e.decay(now)
	e.offers++
}

func (e *evidence) refuse(now time.Duration) {
	e.decay(now)
	e.refusals++
}

func (e *evidence) ratio() float64 {
	return min(1, e.refusals/max(1, e.offers))
}

// trust is the factor by which refusals reduce the weight of a peer.
func (e *evidence) trust(now time.Duration) float64 {
	e.decay(now)

	return 1 - 0.9*e.ratio()
}

// bounds returns the utilisations between which the evidence lets a report be.
// A peer that refuses as often as the own target would is as busy as it.
func (e *evidence) bounds(now time.Duration, reference float64, own *evidence) (low, high float64) {
	e.decay(now)
	if e.offers < 1 {
		return 0, 1
	}
	estimate := reference + refusalSlope*(e.ratio()-own.ratio())
	tolerance := toleranceLeast + toleranceFew/math.Sqrt(e.offers)

	return estimate - tolerance, estimate + tolerance
}
