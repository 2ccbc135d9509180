package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// choose returns a random index in proportion to the weights, or -1 if all are zero.
func choose(weights []float64, r *rand.Rand) int {
	sum := total(weights)
	if sum <= 0 {
		return -1
	}

	x := r.Float64() * sum
	last := -1
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		last = i
		x -= w
		if x < 0 {
			return i
		}
	}

	return last
}

func total(weights []float64) float64 {
	t := 0.0
	for _, w := range weights {
		t += w
	}

	return t
}

// decay is the factor left after d with a half-life.
func decay(d, half time.Duration) float64 {
	return math.Exp2(-max(0, d).Seconds() / half.Seconds())
}
