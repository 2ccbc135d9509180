package admission

import "slices"

// clipFactor is the greatest ratio of a utilisation to the group's median, or of
// the median to it, that counts in the group's mean; values beyond it are
// clipped. One peer in seven that reports a wrong load thus changes the mean by
// at most 4%.
const clipFactor = 1.25

// meanUtilisation returns the mean utilisation of this agent's target and its
// peers, weighted by capacity, with outliers clipped by clipFactor.
func meanUtilisation(own Load, peers []Load, ratios []float64) float64 {
	return clippedMean(own, peers, own.busy()/own.capacity(), ratios)
}

// clippedMean returns the mean of the ratios of this agent's target and of the
// peers that are not draining, weighted by capacity and clipped by clipFactor
// around the median.
func clippedMean(own Load, peers []Load, ownRatio float64, ratios []float64) float64 {
	m := median(ownRatio, peers, ratios)
	clip := func(v float64) float64 {
		return max(m/clipFactor, min(m*clipFactor, v))
	}
	sum := clip(ownRatio) * own.capacity()
	capacity := own.capacity()
	for i, p := range peers {
		if !p.Draining {
			sum += clip(ratios[i]) * p.capacity()
			capacity += p.capacity()
		}
	}

	return sum / capacity
}

func median(ownRatio float64, peers []Load, ratios []float64) float64 {
	values := []float64{ownRatio}
	for i, p := range peers {
		if !p.Draining {
			values = append(values, ratios[i])
		}
	}
	slices.Sort(values)
	n := len(values)

	return (values[(n-1)/2] + values[n/2]) / 2
}
