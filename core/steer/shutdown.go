package steer

import "time"

const (
	// routerDetectionTime is how long routers take to notice that an entry stops: two
	// failed readiness calls, one every 500 ms.
	routerDetectionTime = 1200 * time.Millisecond
	// quietPeriod is how long no packet of a caller may arrive before an entry ends. It
	// exceeds the default of Policy.ResendTime, the time for which packets for an
	// unavailable agent are kept.
	quietPeriod = 300 * time.Millisecond
)

// Shutdown decides when an entry that shuts down gracefully may end.
type Shutdown struct {
	// Began is when the shutdown began.
	Began time.Duration
	// MaxTime bounds the duration of the shutdown. It must be less than the time until the
	// process is killed.
	MaxTime time.Duration
}

// Done reports whether the entry may end. Last is when the last packet of a caller came.
func (s *Shutdown) Done(now, last time.Duration) bool {
	if now-s.Began >= max(routerDetectionTime, s.MaxTime) {
		return true
	}

	return now-s.Began >= routerDetectionTime && now-last >= quietPeriod
}
