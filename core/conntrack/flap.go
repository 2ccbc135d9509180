package conntrack

import "time"

const (
	// minUnstableTime is how long a target counts as unstable after it lost its flows. The
	// time doubles with each further loss, up to maxUnstableTime.
	minUnstableTime = time.Second
	maxUnstableTime = 8 * time.Second
	// flapResetTime is how long a target has to serve without a loss before the unstable
	// time starts again at minUnstableTime.
	flapResetTime = 10 * time.Second
	// lossWindow is the time within which lost flows count as one loss.
	lossWindow = 500 * time.Millisecond
	// minLostFlows is the number of lost flows that count as a loss: a single flow may
	// have been discarded because it was idle.
	minLostFlows = 2
)

// flapDamping decides how long new flows should avoid a target that loses its flows
// repeatedly. Without it such a target attracts them: right after a restart it has no
// flows and looks the least busy.
type flapDamping struct {
	// lostFlows counts the flows lost since windowStart.
	lostFlows   int
	windowStart time.Duration
	// lastLoss is when the last loss was recorded. The target is unstable until
	// unstableUntil, which is unstableTime after that.
	lastLoss      time.Duration
	unstableUntil time.Duration
	unstableTime  time.Duration
}

// recordLostFlow counts a flow that the target held and then bounced, or that it reset
// instead of answering a request.
func (d *flapDamping) recordLostFlow(now time.Duration) {
	if d.lostFlows == 0 || now-d.windowStart > lossWindow {
		d.lostFlows = 0
		d.windowStart = now
	}
	d.lostFlows++
	if d.lostFlows == minLostFlows {
		d.recordLoss(now)
	}
}

// recordLoss records that the target lost its flows.
func (d *flapDamping) recordLoss(now time.Duration) {
	if d.unstableTime > 0 && now-d.lastLoss < lossWindow {
		return
	}
	switch {
	case d.unstableTime == 0 || now-d.lastLoss > flapResetTime:
		d.unstableTime = minUnstableTime
	default:
		d.unstableTime = min(2*d.unstableTime, maxUnstableTime)
	}
	d.lastLoss = now
	d.unstableUntil = now + d.unstableTime
}

// unstable reports whether new flows should go elsewhere if they can.
func (d *flapDamping) unstable(now time.Duration) bool {
	return now < d.unstableUntil
}
