package conntrack

import "time"

// creditObservedTime adds the time since the last Tick, without pauses: detectPause has
// moved lastTick past them. Once the process has run for MaxFlowAge it knows all flows of
// its target: every packet of a flow passes the agent, so a flow that it has not seen has
// been idle for as long, and both ends have discarded it.
func (c *Core) creditObservedTime(now time.Duration) {
	if c.Complete {
		return
	}
	c.observedTime += now - c.lastTick
	if c.observedTime <= c.MaxFlowAge {
		return
	}
	c.Complete = true
	c.note(now, Note{
		Decision: AllFlowsKnown,
	})
}

// markComplete records that nothing listens at the target's address: flows that open from now
// on pass this process.
func (c *Core) markComplete(now time.Duration) {
	if c.Complete {
		return
	}
	c.Complete = true
	c.note(now, Note{
		Decision: TargetFresh,
	})
}
