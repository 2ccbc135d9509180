package admission

import (
	"math"
	"time"
)

const (
	// minAnswerWeight is the weight of one answer in the moving averages. The
	// first answers weigh more.
	minAnswerWeight = 1.0 / 64
	// minBaselineAnswers is the number of answers after which the baseline is
	// known.
	minBaselineAnswers = 64
	// minLogDeviation is the least mean absolute deviation of the logarithm that
	// is assumed, for targets with a nearly constant service time.
	minLogDeviation = 0.1
	// deviationRatio is the ratio of the standard deviation to the mean absolute
	// deviation in a normal distribution.
	deviationRatio = 1.25
	// maxLearnedDeviations is the number of standard deviations above the average
	// to which longer service times are clipped when they are learned.
	maxLearnedDeviations = 2.5
	// maxBaselineFactor is the ratio to the baseline's mean up to which the mean
	// of a batch counts as equally fast.
	maxBaselineFactor = 1.15
)

// serviceBaseline learns the usual service time of the warm target. The
// distribution is kept in logarithms because service times are skewed.
type serviceBaseline struct {
	count int
	// average is the moving average of the service time in seconds.
	average float64
	// logAverage is the moving average of the logarithm of the service time in
	// seconds, logDeviation that of its absolute deviation.
	logAverage   float64
	logDeviation float64
}

func (b *serviceBaseline) known() bool {
	return b.count >= minBaselineAnswers
}

// mean returns the mean service time, or zero while the baseline is unknown.
func (b *serviceBaseline) mean() time.Duration {
	if !b.known() {
		return 0
	}

	return time.Duration(b.average * float64(time.Second))
}

// learn adds a service time. Times far above the average are clipped, so that the
// few answers before an unannounced cold start is noticed don't raise the
// average.
func (b *serviceBaseline) learn(took time.Duration) {
	if d := b.deviations(took); d > maxLearnedDeviations {
		x := b.logAverage + maxLearnedDeviations*deviationRatio*max(minLogDeviation, b.logDeviation)
		took = time.Duration(math.Exp(x) * float64(time.Second))
	}
	b.count = min(b.count+1, minBaselineAnswers)
	w := max(minAnswerWeight, 1/float64(b.count))
	x := logarithm(took)
	b.average += w * (took.Seconds() - b.average)
	b.logAverage += w * (x - b.logAverage)
	b.logDeviation += w * (math.Abs(x-b.logAverage) - b.logDeviation)
}

// deviations returns the number of standard deviations by which a service time
// exceeds the average, both as logarithms; zero while the baseline is unknown.
func (b *serviceBaseline) deviations(took time.Duration) float64 {
	if !b.known() {
		return 0
	}

	return (logarithm(took) - b.logAverage) / (deviationRatio * max(minLogDeviation, b.logDeviation))
}

// matches reports whether a mean of several service times is about as fast as the
// baseline or faster. It is false while the baseline is unknown.
func (b *serviceBaseline) matches(mean time.Duration) bool {
	return b.known() && mean.Seconds() <= b.average*maxBaselineFactor
}

func logarithm(took time.Duration) float64 {
	return math.Log(max(took, time.Microsecond).Seconds())
}
