package admission

import "time"

const (
	// alarmSlack is the number of standard deviations by which an answer may
	// exceed the mean without adding to the sum.
	alarmSlack = 1.5
	// alarmThreshold is the sum above which the alarm is raised. One answer more
	// than 5.5 deviations above the mean is enough, or about 3 answers of a target
	// that became four times slower; random variation exceeds it once in a million
	// answers.
	alarmThreshold = 4.0
)

// slowAlarm detects that a target became slow: a one-sided cumulative sum (CUSUM)
// test of its service times against the baseline.
type slowAlarm struct {
	sum float64
}

// observe adds a service time and reports whether the sum exceeds alarmThreshold.
func (a *slowAlarm) observe(b *serviceBaseline, took time.Duration) bool {
	a.sum = max(0, a.sum+b.deviations(took)-alarmSlack)

	return a.sum > alarmThreshold
}
