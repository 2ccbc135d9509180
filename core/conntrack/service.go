package conntrack

import (
	"time"

	"ibisfold.example/core/relay"
)

const (
	// minReplaceTime is the shortest pause of the process in which the target may have ended
	// and another one of another service started at its address. That takes 2 s at least.
	minReplaceTime = time.Second
	// resumeTime is how long after such a pause SYNs wait: a signal or new settings that came
	// during the pause take effect first.
	resumeTime = 100 * time.Millisecond
)

// serviceEvidence is the state of the knowledge that the target belongs to Core.Service.
type serviceEvidence struct {
	// confirmed means that a ServiceConfirmed came, the last one at confirmedAt.
	confirmed   bool
	confirmedAt time.Duration
	// waitUntil is until when SYNs wait after a pause of minReplaceTime or more.
	waitUntil time.Duration
	// targetLeaves means that TargetLeaves came.
	targetLeaves bool
}

// confirmService handles a ServiceConfirmed.
func (c *Core) confirmService(now time.Duration, service uint64) {
	c.evidence.confirmed = true
	c.evidence.confirmedAt = now
	if service == c.Service {
		return
	}
	c.Service = service
	c.refuseAllWaiting(now, relay.ReasonWrongService)
}

// serviceConfirmed reports whether SYNs for Service may be passed to the target. Otherwise
// they wait.
func (c *Core) serviceConfirmed(now time.Duration) bool {
	if c.ServiceValidity == 0 {
		return true
	}
	e := &c.evidence

	return e.confirmed && now-e.confirmedAt <= c.ServiceValidity && now >= e.waitUntil
}

// recordPause notes a pause of the process that has just ended.
func (e *serviceEvidence) recordPause(now, gap time.Duration) {
	if gap >= minReplaceTime {
		e.waitUntil = now + resumeTime
	}
}

// leaveTarget handles a TargetLeaves. Waiting SYNs go to other targets.
func (c *Core) leaveTarget(now time.Duration) {
	c.evidence.targetLeaves = true
	c.refuseAllWaiting(now, relay.ReasonFull)
}

// Waiting returns the number of SYNs that wait for their target's capacity, or for a
// ServiceConfirmed.
func (c *Core) Waiting() int {
	return c.backlog.size()
}
