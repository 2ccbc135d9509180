package conntrack

import "time"

// run notes the time since the last Tick, unless the process was paused in it: notePause has
// then moved lastTick. Once it has run for MaxFlowAge it knows all flows of its target. Every
// packet of a flow passes the agent, so one that was not seen has been idle as long, and
// its ends have discarded it.
func (c *Core) run(now time.Duration) {
	if c.Complete {
		return
	}
	c.ran += now - c.lastTick
	if c.ran <= c.MaxFlowAge {
		return
	}
	c.Complete = true
	c.note(now, Note{
		Decision: Acquainted,
	})
}
