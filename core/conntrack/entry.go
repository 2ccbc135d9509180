package conntrack

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

func (c *Core) handleEntryMessage(now time.Duration, m *EntryMessage) {
	if m.Message.Kind == relay.ForwardedProbe {
		m = asProbe(m, m.Message.Origin)
	} else {
		c.leaving.record(now, m.Message.Leaving)
	}
	c.entries[m.From] = now
	if m.Message.Kind == relay.ProbeZone {
		c.forwardProbe(m)
		m = asProbe(m, m.From)
	}
	if c.blockedByStop(now, m) {
		return
	}
	switch m.Message.Kind {
	case relay.Open:
		c.open(now, m)
	case relay.Deliver, relay.Confirm, relay.Probe:
		c.deliver(now, m)
	case relay.Withdraw:
		c.backlog.remove(m.Message.Key)
		c.inflight.clearExpected(m.Message.Key)
	case relay.Find:
		c.find(now, m)
	case relay.FindMany:
		c.findMany(now, m)
	case relay.HandoverOffer, relay.HandoverPart:
		c.handleTableMessage(now, m)
	}
}

// open passes a SYN to the target, unless the target can't take it now.
func (c *Core) open(now time.Duration, m *EntryMessage) {
	c.slots = int(m.Message.Slots)
	if reason := c.refusalReason(now, m); reason != relay.ReasonNone {
		c.refuse(now, m, reason)

		return
	}
	f, ok := c.flows[m.Message.Key]
	confirmed := c.serviceConfirmed(now)
	switch {
	case ok && f.mayBeHeld() && (!confirmed || c.evidence.targetLeaves):
		// Refusing it could end a flow that the target has opened. Its entry sends another
		// copy.
	case ok && f.mayBeHeld():
		// A retransmitted SYN: refusing it would end a flow that the target may have
		// opened. If the flow is held, its caller may also be reusing the port for a new
		// flow.
		if f.state == stateHeld {
			f.openedAt = now
		}
		c.forwardOpen(now, f, m)
	case c.evidence.targetLeaves:
		c.refuse(now, m, relay.ReasonFull)
	case confirmed && c.hasRoom():
		c.backlog.remove(m.Message.Key)
		c.admit(now, m)
	default:
		c.enqueue(now, m)
	}
}

// enqueue puts a SYN into the backlog. If the backlog is then longer than the target can
// serve in time, the SYN that would be served last is refused.
func (c *Core) enqueue(now time.Duration, m *EntryMessage) {
	if c.backlog.put(now, m) {
		c.note(now, Note{
			Decision: Waiting,
			Key:      m.Message.Key,
			Entry:    m.From,
			Count:    c.backlog.size(),
		})
	}
	if c.backlog.size() > c.backlogLimit() {
		w := c.backlog.popLeastUrgent()
		c.refuse(now, &w.message, relay.ReasonFull)
	}
}

// admit passes the first SYN of a flow to the target.
func (c *Core) admit(now time.Duration, m *EntryMessage) {
	if !c.cold.allow(now, float64(m.Message.ColdRate)/10) {
		c.refuse(now, m, relay.ReasonCold)

		return
	}
	f := &flow{
		openedAt: now,
	}
	c.flows[m.Message.Key] = f
	c.inflight.expect(now, m.Message.Key)
	c.forwardOpen(now, f, m)
}

func (c *Core) forwardOpen(now time.Duration, f *flow, m *EntryMessage) {
	f.entry = m.From
	f.lastUsed = now
	c.forwardToTarget(now, m.Message.Packet, true)
}

// mayBeHeld reports whether the target was sent the flow's SYN, or any other packet of it,
// and may hold the flow.
func (f *flow) mayBeHeld() bool {
	return f.state != stateNotHeld && f.state != stateEnded
}

// isOpen reports whether the target is known or assumed to have opened the flow.
func (f *flow) isOpen() bool {
	switch f.state {
	case stateAnswered, stateHeld, stateAssumed:
		return true
	default:
		return false
	}
}

func (c *Core) refusalReason(now time.Duration, m *EntryMessage) relay.Reason {
	if m.Message.Service != c.Service {
		return relay.ReasonWrongService
	}
	if c.target.avoided() && !c.target.allowRetry(now) {
		return relay.ReasonTargetDown
	}

	return relay.ReasonNone
}

func (c *Core) refuse(now time.Duration, m *EntryMessage, reason relay.Reason) {
	decision := NotHeld
	if m.Segment.Opens() {
		decision = Refused
	}
	c.note(now, Note{
		Decision: decision,
		Key:      m.Message.Key,
		Entry:    m.From,
		Reason:   reason,
	})
	c.sendToEntry(m.From, relay.Message{
		Kind:   relay.Returned,
		Reason: reason,
		Key:    m.Message.Key,
		Packet: m.Message.Packet,
	})
}

// deliver passes a packet to the target if the target holds the flow. A packet of an
// unknown flow is passed on only while Complete is not set: the agent may have missed the
// start of the flow. A SYN is never passed on: only an Open names the service that it is for.
func (c *Core) deliver(now time.Duration, m *EntryMessage) {
	k := m.Message.Key
	if m.Segment.Opens() {
		c.refuse(now, m, relay.ReasonNotHeld)

		return
	}
	c.backlog.remove(k)
	f, ok := c.flows[k]
	if !ok {
		if c.Complete {
			c.refuse(now, m, relay.ReasonNotHeld)

			return
		}
		f = &flow{
			state: stateProbed,
		}
		c.flows[k] = f
	}
	if c.mayPredateAgent(f) {
		f.state = stateProbed
	}
	if !f.accepts(&m.Segment) {
		c.inflight.clearExpected(k)
		c.refuse(now, m, relay.ReasonNotHeld)

		return
	}
	if c.target.down {
		c.refuse(now, m, relay.ReasonTargetDown)

		return
	}

	f.entry = m.From
	f.byProbe = m.Message.Kind == relay.Probe
	f.lastUsed = now
	f.lastAck = m.Segment.Ack
	switch f.state {
	case stateAnswered:
		f.state = stateHeld
	case stateProbed:
		c.probes[k] = f
	}
	switch {
	case m.Segment.Flags.Has(segment.RST):
		c.inflight.drop(k)
	case m.Segment.Len > 0 && f.state != stateEnded:
		c.inflight.begin(now, k)
	}
	c.forwardToTarget(now, m.Message.Packet, m.Segment.Len > 0)
	if m.Message.Kind != relay.Deliver && f.state != stateProbed {
		c.sendToEntry(m.From, relay.Message{
			Kind: relay.Owned,
			Key:  k,
		})
	}
}

// mayPredateAgent reports whether the target may have held the flow since before the
// agent's start although the agent has seen only a SYN: that SYN may have been a
// retransmission.
func (c *Core) mayPredateAgent(f *flow) bool {
	return f.state == stateSYNPassed && !c.Complete
}

// accepts reports whether a caller's packet may be passed to the target.
func (f *flow) accepts(s *segment.Segment) bool {
	switch f.state {
	case stateSYNPassed, stateNotHeld:
		return false
	case stateAnswered:
		// The caller acknowledges only the target whose answer it chose.
		return s.Flags.Has(segment.ACK) && s.Ack == f.synAckSeq+1
	default:
		return true
	}
}

// find handles the lookup of a flow's owner by an entry.
func (c *Core) find(now time.Duration, m *EntryMessage) {
	if !c.deferLookup(now, m.From, m.Message.Key) {
		c.answerFind(m.From, m.Message.Key)
	}
}

func (c *Core) answerFind(to netip.AddrPort, k segment.Key) {
	c.sendToEntry(to, relay.Message{
		Kind: c.ownership(k),
		Key:  k,
	})
}

// findMany handles a lookup of many flows.
func (c *Core) findMany(now time.Duration, m *EntryMessage) {
	if keys := c.deferLookups(now, m); len(keys) > 0 {
		c.answerFindMany(m.From, keys)
	}
}

// answerFindMany answers the lookup of many flows, at most relay.MaxKeys.
func (c *Core) answerFindMany(to netip.AddrPort, keys []segment.Key) {
	kinds := []relay.Kind{}
	for _, k := range keys {
		kinds = append(kinds, c.ownership(k))
	}
	c.sendToEntry(to, relay.Message{
		Kind:      relay.Answers,
		Keys:      keys,
		Ownership: kinds,
	})
}

func (c *Core) ownership(k segment.Key) relay.Kind {
	f, ok := c.flows[k]
	switch {
	case !ok && c.Complete:
		return relay.NotOwned
	case !ok:
		return relay.Unsure
	}
	if c.mayPredateAgent(f) {
		return relay.Unsure
	}
	switch f.state {
	case stateHeld, stateEnded:
		return relay.Owned
	case stateAnswered, stateProbed, stateAssumed:
		return relay.Unsure
	default:
		return relay.NotOwned
	}
}

func (c *Core) forwardToTarget(now time.Duration, packet []byte, expectsAnswer bool) {
	c.target.recordSent(now, expectsAnswer)
	c.commands = append(c.commands, ToTarget{
		Packet: packet,
	})
}
