package conntrack

import "time"

const (
	// leavingReportTTL is how long a report that the target is leaving stays valid.
	// Entries that still send packets repeat the report with each of them.
	leavingReportTTL = 10 * time.Second
	// maxLeavingFlowIdle bounds the idle time of a flow that still keeps an agent running
	// beside a leaving target.
	maxLeavingFlowIdle = 5 * time.Second
)

// leaving holds what entries report about the target's state in the configuration
// service: a target is leaving if it is draining or no longer listed.
type leaving struct {
	reported   bool
	reportedAt time.Duration
}

func (l *leaving) record(now time.Duration, reported bool) {
	if reported {
		l.reported = true
		l.reportedAt = now
	}
}

// TargetLeaving reports whether the target is leaving and still has active flows. An agent
// that is stopped at that point is probably not started again, so no one else could serve
// those flows.
func (c *Core) TargetLeaving(now time.Duration) bool {
	if !c.leaving.reported || now-c.leaving.reportedAt > leavingReportTTL {
		return false
	}
	for _, f := range c.flows {
		if f.state == stateHeld && now-f.lastUsed < maxLeavingFlowIdle {
			return true
		}
	}

	return false
}
