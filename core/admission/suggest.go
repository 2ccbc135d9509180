package admission

import (
	"slices"
	"time"
)

// suggestedDeviation is the standard deviation of the logarithm of the service
// time that is assumed with a suggested mean until the target's own is learned.
const suggestedDeviation = 0.3

// SuggestServiceTime sets the baseline to a mean service time that the ticket
// states or that other targets of the service have, until the target's own is
// learned, so that an agent that starts beside a warm target needs fewer answers
// before the limit grows. It does nothing if the time is not positive or the
// target's own baseline is known. If the target is slower than the suggestion,
// the limit grows only after its own baseline is learned, as without one.
func (l *Limiter) SuggestServiceTime(baseline time.Duration) {
	if baseline <= 0 || l.baseline.known() && !l.suggested {
		return
	}

	// The mean of a log-normal distribution is exp(m + s*s/2), with the mean m and
	// the standard deviation s of the logarithm.
	l.suggested = true
	l.baseline = serviceBaseline{
		count:        minBaselineAnswers,
		average:      baseline.Seconds(),
		logAverage:   logarithm(baseline) - suggestedDeviation*suggestedDeviation/2,
		logDeviation: suggestedDeviation / deviationRatio,
	}
}

// MedianServiceTime returns the median of the service times that peers report, or
// zero if none reports one. A single peer that reports a wrong time changes it
// little.
func MedianServiceTime(peers []Load) time.Duration {
	times := make([]time.Duration, 0, len(peers))
	for _, p := range peers {
		if p.ServiceTime > 0 {
			times = append(times, p.ServiceTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)

	return times[len(times)/2]
}
