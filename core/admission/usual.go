package admission

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight of one answer in the averages.
	usualWeight = 1.0 / 64
	// usualMinimum is how many answers make the averages usable.
	usualMinimum = 64
	// minDeviation is the least deviation of the logarithm, for targets of nearly
	// constant service time.
	minDeviation = 0.1
	// deviationRatio is the standard deviation over the mean absolute deviation of
	// a normal distribution.
	deviationRatio = 1.25
	// clipDeviations is how many standard deviations above the average a service
	// time is learned at most.
	clipDeviations = 2.5
	// withinFactor is how far above the usual mean a cold target's mean may lie.
	withinFactor = 1.15
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

// learn adds a service time. Times above the usual range are clipped, so that the
// few answers before an unannounced cold start is noticed don't raise the average.
func (u *usualTime) learn(took time.Duration) {
	if d := u.deviations(took); d > clipDeviations {
		x := u.logAverage + clipDeviations*deviationRatio*max(minDeviation, u.logDeviation)
		took = time.Duration(math.Exp(x) * float64(time.Second))
	}
	u.count = min(u.count+1, usualMinimum)
	w := max(usualWeight, 1/float64(u.count))
	x := logarithm(took)
	u.average += w * (took.Seconds() - u.average)
	u.logAverage += w * (x - u.logAverage)
	u.logDeviation += w * (math.Abs(x-u.logAverage) - u.logDeviation)
}

// deviations is how many standard deviations a service time lies above the
// usual range; zero if the range is unknown.
func (u *usualTime) deviations(took time.Duration) float64 {
	if !u.known() {
		return 0
	}

	return (logarithm(took) - u.logAverage) / (deviationRatio * max(minDeviation, u.logDeviation))
}

// within reports whether the mean of several service times is usual. Nothing is
// usual while the range is unknown.
func (u *usualTime) within(mean time.Duration) bool {
	return u.known() && mean.Seconds() <= u.average*withinFactor
}

func logarithm(took time.Duration) float64 {
	return math.Log(max(took, time.Microsecond).Seconds())
}
