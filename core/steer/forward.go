package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// handleCallerPacket handles a packet of a caller: a SYN is placed at a target, a packet of
// a known flow goes to the flow's owner, and a packet of an unknown flow starts a search for
// the owner.
func (c *Core) handleCallerPacket(now time.Duration, m *CallerPacket) {
	if m.Segment.Opens() {
		c.open(now, m)

		return
	}
	f, ok := c.flows[m.Segment.Key]
	if !ok {
		c.miss(now, m)

		return
	}
	f.lastUsed = now
	f.ack = m.Segment.Ack
	if f.syn != nil {
		f.syn = nil
		delete(c.opening, m.Segment.Key)
	}
	if f.owner.IsValid() {
		c.forward(now, f.owner, m)

		return
	}
	c.confirm(now, f, m)
}

// forward sends a packet to the agent that owns its flow, or resets the flow if the agent
// is known to be gone.
func (c *Core) forward(now time.Duration, to netip.AddrPort, m *CallerPacket) {
	k := m.Segment.Key
	a := c.agent(to)
	if e := a.knownGone(); e != EvidenceNone {
		c.query(now, to, k)
		c.endFlow(now, k, m.Segment.Ack, to, e)

		return
	}
	a.recordSent(now, k, m.Packet)
	c.send(to, relay.Message{
		Kind:   relay.Deliver,
		Key:    k,
		Packet: m.Packet,
	})
}

// sendConfirm sends a packet as a Confirm to an agent whose target may hold the flow; the
// answer tells whether it does.
func (c *Core) sendConfirm(now time.Duration, to netip.AddrPort, k segment.Key, packet []byte) {
	c.agent(to).expectReply(now, k)
	c.send(to, relay.Message{
		Kind:   relay.Confirm,
		Key:    k,
		Packet: packet,
	})
}

// returned handles a packet that an agent did not deliver.
func (c *Core) returned(now time.Duration, m *AgentMessage, a *agent) {
	k := m.Message.Key
	if m.Segment.Opens() {
		c.refused(now, m, a)

		return
	}
	owned := false
	if f, ok := c.flows[k]; ok {
		owned = f.owner == m.From
		f.tried = without(f.tried, m.From)
		f.accepted = without(f.accepted, m.From)
		if owned {
			f.owner = netip.AddrPort{}
		}
		if f.owner.IsValid() || len(f.tried) > 0 {
			if !owned {
				c.forwardReturned(now, f, m)
			}

			return
		}
		delete(c.flows, k)
	}
	// A target that is down ends only its own flows. A flow whose owner is being searched
	// for may be at any other target.
	if owned && m.Message.Reason == relay.ReasonTargetDown {
		c.endFlow(now, k, m.Segment.Ack, m.From, TargetEnded)

		return
	}
	if _, ok := c.searches[k]; !ok {
		c.miss(now, &CallerPacket{
			Segment: m.Segment,
			Packet:  m.Message.Packet,
		})
	}
	c.recordAnswer(now, k, m.From, answerNotOwned)
}

func without(list []netip.AddrPort, x netip.AddrPort) []netip.AddrPort {
	kept := list[:0]
	for _, a := range list {
		if a != x {
			kept = append(kept, a)
		}
	}

	return kept
}

// setOwner makes an agent the owner of a flow.
func (c *Core) setOwner(now time.Duration, k segment.Key, owner netip.AddrPort) {
	c.flows[k] = &flow{
		owner:    owner,
		began:    now,
		lastUsed: now,
	}
}
