package steer

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// confirm sends a packet of a flow that was opened here to the agents whose targets may
// have opened it; their answers tell which target the caller chose. If none of them is
// reachable, a search for the owner begins: the caller may have opened the flow through
// another entry with a copy of its SYN.
func (c *Core) confirm(now time.Duration, f *flow, m *CallerPacket) {
	to := c.candidates(f)
	if len(to) == 0 {
		delete(c.flows, m.Segment.Key)
		c.miss(now, m)

		return
	}
	if f.recipients == nil {
		c.withdraw(f, to, m.Segment.Key)
	}
	f.recordRecipients(to)
	for _, a := range to {
		c.sendConfirm(now, a, m.Segment.Key, m.Packet)
	}
}

// candidates returns the reachable agents that may own a flow that was opened here: those
// whose target answered the SYN or, while none is known, all that got the SYN, because an
// Accepted may be lost or late. An agent that has lost its flow table since passes the
// packet to its target, so the packet must not go to an agent whose target never saw the
// flow.
func (c *Core) candidates(f *flow) []netip.AddrPort {
	if to := c.reachable(f.accepted); len(to) > 0 {
		return to
	}

	return c.reachable(f.tried)
}

// reachable returns the agents of a list that are not known to be gone. A packet for one that
// is only silent must not go to another agent, whose target does not hold the flow.
func (c *Core) reachable(list []netip.AddrPort) []netip.AddrPort {
	reachable := []netip.AddrPort{}
	for _, to := range list {
		if a := c.agent(to); a.knownGone() == EvidenceNone {
			reachable = append(reachable, to)
		}
	}

	return reachable
}

// withdraw tells the agents that got the SYN and are not in except that another target
// answered it. A SYN that waits there would take a slot of the target later.
func (c *Core) withdraw(f *flow, except []netip.AddrPort, k segment.Key) {
	for _, a := range c.reachable(f.tried) {
		if !slices.Contains(except, a) {
			c.send(a, relay.Message{
				Kind: relay.Withdraw,
				Key:  k,
			})
		}
	}
}

// recordRecipients updates recipients for a packet that is sent to the given agents.
func (f *flow) recordRecipients(to []netip.AddrPort) {
	if f.recipients == nil {
		f.recipients = to

		return
	}
	f.recipients = slices.DeleteFunc(f.recipients, func(a netip.AddrPort) bool {
		return slices.Contains(f.tried, a) && !slices.Contains(to, a)
	})
}

// forwardReturned sends a packet that one of the candidates returned to those that have not
// got it, so that the caller need not retransmit it.
func (c *Core) forwardReturned(now time.Duration, f *flow, m *AgentMessage) {
	if !slices.Contains(f.recipients, m.From) {
		return
	}
	to := []netip.AddrPort{f.owner}
	if !f.owner.IsValid() {
		to = c.candidates(f)
	}
	for _, a := range to {
		if !slices.Contains(f.recipients, a) {
			c.sendConfirm(now, a, m.Message.Key, m.Message.Packet)
		}
	}
}

// accepted notes that a target answered a SYN.
func (c *Core) accepted(now time.Duration, k segment.Key, from netip.AddrPort) {
	if f, ok := c.flows[k]; ok && slices.Contains(f.tried, from) && !slices.Contains(f.accepted, from) {
		f.accepted = append(f.accepted, from)
	}
	if f, ok := c.opening[k]; ok {
		c.measure(OpenTime, now-f.opened)
		delete(c.opening, k)
	}
}
