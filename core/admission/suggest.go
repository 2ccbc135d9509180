package admission

import (
	"slices"
	"time"
)

// suggestedDeviation is the deviation of the logarithm that is assumed for a
// suggested usual time until the target's own is learned.
const suggestedDeviation = 0.3

// Suggest gives the usual service time of other targets of the service. It is
// used until the target's own is known, so that an agent that starts beside a
// warm target need not watch it for long. A target that is slower than the
// others is watched as if nothing had been suggested.
func (l *Limiter) Suggest(usual time.Duration) {
	if usual <= 0 || l.usual.known() && !l.suggested {
		return
	}

	l.suggested = true
	l.usual = usualTime{
		count:        usualMinimum,
		average:      usual.Seconds(),
		logAverage:   logarithm(usual) - suggestedDeviation*suggestedDeviation/2,
		logDeviation: suggestedDeviation / deviationRatio,
	}
}

// Median returns the middle one of the usual times that peers report, or zero.
// One peer that reports a wrong time does not change it much.
func Median(peers []Load) time.Duration {
	times := make([]time.Duration, 0, len(peers))
	for _, p := range peers {
		if p.Usual > 0 {
			times = append(times, p.Usual)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)

	return times[len(times)/2]
}
