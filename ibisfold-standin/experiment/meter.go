package experiment

import (
	"math"
	"slices"
	"time"
)

// window is the length of the time windows over which counts are averaged.
const window = 10 * time.Second

// meter integrates a count over time, for each window.
type meter struct {
	count int
	// last is the time up to which the count has been integrated.
	last time.Duration
	// sums holds the integral of the count over each window, in seconds.
	sums []float64
}

// set records a new count.
func (m *meter) set(now time.Duration, count int) {
	m.flush(now)
	m.count = count
}

// flush integrates the count up to now.
func (m *meter) flush(now time.Duration) {
	for m.last < now {
		i := int(m.last / window)
		for len(m.sums) <= i {
			m.sums = append(m.sums, 0)
		}
		end := min(now, time.Duration(i+1)*window)
		m.sums[i] += float64(m.count) * (end - m.last).Seconds()
		m.last = end
	}
}

// imbalances returns the imbalance of each whole window in [from, to) that has a count above
// zero: the highest of the meters relative to their mean.
func imbalances(meters []*meter, from, to time.Duration) []float64 {
	values := []float64{}
	for _, m := range meters {
		m.flush(to)
	}
	for w := int(from / window); w < int(to/window); w++ {
		highest, sum := 0.0, 0.0
		for _, m := range meters {
			highest = max(highest, m.sums[w])
			sum += m.sums[w]
		}
		if sum > 0 {
			values = append(values, highest*float64(len(meters))/sum)
		}
	}

	return values
}

func mean(values []float64) float64 {
	s := 0.0
	for _, v := range values {
		s += v
	}

	return s / float64(max(1, len(values)))
}

// quantile returns the smallest value such that at least the share p of all values is not
// above it, or zero if there are no values.
func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(p*float64(len(s)))) - 1

	return s[max(0, min(len(s)-1, i))]
}
