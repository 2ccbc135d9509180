package steer

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// confirm passes a packet of a flow that was opened here to the targets that may have
// opened it: the one that the caller chose tells. The caller may have opened the
// flow through another entry with a copy of its SYN, so where none of them is left
// the owner is searched.
func (c *Core) confirm(now time.Duration, f *flow, m *CallerPacket) {
	to := c.candidates(f)
	if len(to) == 0 {
		delete(c.flows, m.Segment.Key)
		c.miss(now, m)

		return
	}
	if f.passed == nil {
		c.withdraw(f, to, m.Segment.Key)
	}
	f.passedTo(to)
	for _, a := range to {
		c.sendProbe(now, relay.Confirm, a, m.Segment.Key, m.Packet)
	}
}

// candidates returns the agents that may own a flow that was opened here: those whose
// target answered the SYN, or while none is known, as the message may be lost or late, all
// that got it. An agent that has lost its flow table since passes the packet to its target,
// so one whose target never saw the flow must not get it.
func (c *Core) candidates(f *flow) []netip.AddrPort {
	if to := c.there(f.accepted); len(to) > 0 {
		return to
	}

	return c.there(f.tried)
}

// there returns the agents of a list that are not known to be gone.
func (c *Core) there(list []netip.AddrPort) []netip.AddrPort {
	there := []netip.AddrPort{}
	for _, to := range list {
		if a := c.agent(to); !a.silent && !a.ended {
			there = append(there, to)
		}
	}

	return there
}

// withdraw tells the agents that got the SYN and are not asked that another target answered
// it: a SYN that waits there would take a place of its target.
func (c *Core) withdraw(f *flow, asked []netip.AddrPort, k segment.Key) {
	for _, a := range c.there(f.tried) {
		if !slices.Contains(asked, a) {
			c.send(a, relay.Message{
				Kind: relay.Withdraw,
				Key:  k,
			})
		}
	}
}

// passedTo notes which agents get a packet.
func (f *flow) passedTo(to []netip.AddrPort) {
	if f.passed == nil {
		f.passed = to

		return
	}
	f.passed = slices.DeleteFunc(f.passed, func(a netip.AddrPort) bool {
		return slices.Contains(f.tried, a) && !slices.Contains(to, a)
	})
}

// passOn passes a packet that one of the candidates returned to those that have not got
// it, so that the caller need not send a copy.
func (c *Core) passOn(now time.Duration, f *flow, m *AgentMessage) {
	if !slices.Contains(f.passed, m.From) {
		return
	}
	to := []netip.AddrPort{f.owner}
	if !f.owner.IsValid() {
		to = c.candidates(f)
	}
	for _, a := range to {
		if !slices.Contains(f.passed, a) {
			c.sendProbe(now, relay.Confirm, a, m.Message.Key, m.Message.Packet)
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
