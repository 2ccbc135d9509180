package admission

import (
	"math"
	"time"
)

const (
	// offerHalfLife is the half-life of the counts of offers and refusals.
	offerHalfLife = 5 * time.Second
	// utilisationPerRefusal is the difference in utilisation that a difference of
	// 1 in the refusal ratio stands for.
	utilisationPerRefusal = 0.8
	// A reported utilisation is clamped to within a tolerance of the estimate from
	// the offers. The tolerance is minTolerance plus sampleTolerance divided by
	// the square root of the number of offers, because an estimate from few offers
	// is uncertain.
	minTolerance    = 0.1
	sampleTolerance = 0.5
)

// offerStats counts the offers that an agent made to a target and the refusals
// among them, both decaying with offerHalfLife.
type offerStats struct {
	offers   float64
	refusals float64
	updated  time.Duration
}

func (s *offerStats) decay(now time.Duration) {
	f := decay(now-s.updated, offerHalfLife)
	s.offers *= f
	s.refusals *= f
	s.updated = max(s.updated, now)
}

func (s *offerStats) addOffer(now time.Duration) {
	s.decay(now)
	s.offers++
}

func (s *offerStats) addRefusal(now time.Duration) {
	s.decay(now)
	s.refusals++
}

func (s *offerStats) refusalRatio() float64 {
	return min(1, s.refusals/max(1, s.offers))
}

// weight returns the factor by which refusals reduce the weight of a peer, from
// 0.1 to 1.
func (s *offerStats) weight(now time.Duration) float64 {
	s.decay(now)

	return 1 - 0.9*s.refusalRatio()
}

// utilisationBounds returns the range to which a peer's reported utilisation is
// clamped. The estimate in its middle assumes that a peer that refuses as often
// as this agent's own target would is as busy as that target.
func (s *offerStats) utilisationBounds(now time.Duration, ownUtilisation float64, ownOffers *offerStats) (low, high float64) {
	s.decay(now)
	if s.offers < 1 {
		return 0, 1
	}
	estimate := ownUtilisation + utilisationPerRefusal*(s.refusalRatio()-ownOffers.refusalRatio())
	tolerance := minTolerance + sampleTolerance/math.Sqrt(s.offers)

	return estimate - tolerance, estimate + tolerance
}
