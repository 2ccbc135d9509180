package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
)

// recordStop notes that an agent is stopping as planned. The time counts from the last
// message that shows it, as the process may run for a while after it announced the stop. That
// the target has ended is not taken from a process of which nothing else was heard while another one
// was: its announcement may be late, and the other one may serve another target.
func (c *Core) recordStop(now time.Duration, from netip.AddrPort, m *relay.Message, process processChange) {
	a := c.agent(from)
	if !c.inPlannedStop(now, a) {
		c.note(now, Note{
			Decision: AgentStopping,
			Agent:    from,
		})
	}
	a.stopAnnounced = max(now, 1)
	a.stopUnattributed = process == processUnknown
	ended := m.Kind == relay.Stopping && m.Reason == relay.ReasonTargetDown
	a.targetEnded = a.targetEnded || ended && process != processNew
}
