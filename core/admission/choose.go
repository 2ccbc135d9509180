package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// chooseWeighted returns a random index with a probability in proportion to its
// weight, or -1 if no weight is positive.
func chooseWeighted(weights []float64, r *rand.Rand) int {
	sum := totalWeight(weights)
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

func totalWeight(weights []float64) float64 {
	t := 0.0
	for _, w := range weights {
		t += w
	}

	return t
}

// decay returns the factor by which a value with the given half-life decays in d.
func decay(d, half time.Duration) float64 {
	return math.Exp2(-max(0, d).Seconds() / half.Seconds())
}
