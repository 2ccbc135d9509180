package admission

import "time"

const (
	// alarmSlack is how many standard deviations above the mean an answer may lie
	// without adding to the sum.
	alarmSlack = 1.5
	// alarmSum raises the alarm. One answer 5.5 deviations above the mean is
	// enough, or about 3 answers of a target that is four times slower; by chance
	// it happens once in a million answers.
	alarmSum = 4.0
)

// slowAlarm is a cumulative sum test for service times far above the usual range.
type slowAlarm struct {
	sum float64
}

// raise adds a service time and reports whether the target became slow.
func (a *slowAlarm) raise(u *usualTime, took time.Duration) bool {
	a.sum = max(0, a.sum+u.deviations(took)-alarmSlack)

	return a.sum > alarmSum
}
