package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
)

// recordStop notes that an agent is stopping as planned. The time counts from the last
// message that shows it, as the process may run for a while after it announced the stop.
func (c *Core) recordStop(now time.Duration, from netip.AddrPort, m *relay.Message) {
	a := c.agent(from)
	if !c.inPlannedStop(now, a) {
		c.note(now, Note{
			Decision: AgentStopping,
			Agent:    from,
		})
	}
	a.stopAnnounced = max(now, 1)
	a.targetEnded = a.targetEnded || m.Kind == relay.Stopping && m.Reason == relay.ReasonTargetDown
}
