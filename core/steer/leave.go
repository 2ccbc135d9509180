package steer

import "time"

const (
	// leaveTime is how long routers take to notice that an entry stops: two calls
	// that fail, one each half second.
	leaveTime = 1200 * time.Millisecond
	// quietTime is how long no packet of a caller may arrive after that. Packets for an
	// agent that is away are kept for less, see Policy.ResendTime.
	quietTime = 300 * time.Millisecond
)

// Leave decides when an entry that stops as planned ends.
type Leave struct {
	// Began is when the stop began.
	Began time.Duration
	// Most is how long it may take; less than the time until the process is killed.
	Most time.Duration
}

// Done reports whether the entry may end. Last is when the last packet of a caller came.
func (l *Leave) Done(now, last time.Duration) bool {
	if now-l.Began >= max(leaveTime, l.Most) {
		return true
	}

	return now-l.Began >= leaveTime && now-last >= quietTime
}
