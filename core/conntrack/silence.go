package conntrack

import (
	"time"

	"ibisfold.example/core/relay"
)

// targetCheckInterval is the minimum time between two checks of a silent target.
const targetCheckInterval = 200 * time.Millisecond

// targetCheck is the state of the checks of a silent target.
type targetCheck struct {
	// pending means that the result of the last check is awaited, and that since it began the
	// target was not heard and this process not paused.
	pending bool
	// next is when the next check may begin.
	next time.Duration
}

// watchTarget detects that the target no longer responds. New flows then go to other targets.
// Its silence does not show that it has ended: it may get no processor time and holds its flows
// all the while. So the kernel of its VM is asked.
func (c *Core) watchTarget(now time.Duration) {
	t := &c.target
	if t.down || !t.isUnresponsive(now, c.Policy.DownTime) {
		return
	}
	if !t.silent {
		t.silent = true
		t.lastRetry = now
		c.note(now, Note{
			Decision: TargetSilent,
			Count:    t.unanswered,
		})
		c.refuseAllWaiting(now, relay.ReasonTargetDown)
	}
	if now >= t.check.next {
		t.check.pending = true
		t.check.next = now + targetCheckInterval
		c.commands = append(c.commands, CheckTarget{})
	}
}

// handleTargetCheck handles the result of a check.
func (c *Core) handleTargetCheck(now time.Duration, m TargetChecked) {
	if !c.target.check.pending {
		return
	}
	c.target.check.pending = false
	if m.Refused {
		c.handleTargetRefused(now)
	}
}
