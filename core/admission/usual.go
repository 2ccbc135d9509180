package admission

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight of one answer in the averages.
	usualWeight = 1.0 / 64
	// usualMinimum is how many answers of the warm target make the averages usable.
	usualMinimum = 64
	// farDeviations is how many mean deviations of the logarithm above its
	// average a service time counts as far out of range. For log-normal times 5
	// mean deviations are 4 standard deviations: 1 in 30,000 by chance.
	farDeviations = 5
	// withinFactor is how far above the usual mean a cold target's mean may lie.
	withinFactor = 1.25
)

// usualTime learns the service time of the warm target. The range is kept as a
// logarithm because service times are skewed.
type usualTime struct {
	count int
	// average is the moving average of the service time in seconds.
	average float64
	// logAverage and logDeviation are the moving average of the logarithm and of
	// its absolute deviation.
	logAverage   float64
	logDeviation float64
}

func (u *usualTime) known() bool {
	return u.count >= usualMinimum
}

func (u *usualTime) mean() time.Duration {
	if !u.known() {
		return 0
	}

	return time.Duration(u.average * float64(time.Second))
}

func (u *usualTime) learn(took time.Duration) {
	u.count = min(u.count+1, usualMinimum)
	s := max(took.Seconds(), 1e-6)
	w := max(usualWeight, 1/float64(u.count))
	x := math.Log(s)
	u.average += w * (s - u.average)
	u.logAverage += w * (x - u.logAverage)
	u.logDeviation += w * (math.Abs(x-u.logAverage) - u.logDeviation)
}

// farAbove reports whether a service time is far above the usual range. Without
// a usual range it is never so.
func (u *usualTime) farAbove(took time.Duration) bool {
	if !u.known() {
		return false
	}
	x := math.Log(max(took.Seconds(), 1e-6))

	return x > u.logAverage+farDeviations*max(u.logDeviation, 0.1)
}

// within reports whether the mean of several service times is usual.
func (u *usualTime) within(mean time.Duration) bool {
	return !u.known() || mean.Seconds() <= u.average*withinFactor
}
