package admission

import "slices"

// spread is how far from the median a report counts in the group's mean. It
// bounds what one lying peer in seven does to the mean to 4%.
const spread = 1.25

// meanRatio is the mean of the own utilisation and of the peers', weighted by
// capacity, where each counts within spread of the median.
func meanRatio(own Load, peers []Load, ratios []float64) float64 {
	return clippedMean(own, peers, own.busy()/own.capacity(), ratios)
}

func clippedMean(own Load, peers []Load, first float64, ratios []float64) float64 {
	m := median(first, peers, ratios)
	clip := func(v float64) float64 {
		return max(m/spread, min(m*spread, v))
	}
	sum := clip(first) * own.capacity()
	capacity := own.capacity()
	for i, p := range peers {
		if !p.Draining {
			sum += clip(ratios[i]) * p.capacity()
			capacity += p.capacity()
		}
	}

	return sum / capacity
}

func median(first float64, peers []Load, ratios []float64) float64 {
	values := []float64{first}
	for i, p := range peers {
		if !p.Draining {
			values = append(values, ratios[i])
		}
	}
	slices.Sort(values)
	n := len(values)

	return (values[(n-1)/2] + values[n/2]) / 2
}
