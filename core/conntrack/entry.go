package conntrack

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

func (c *Core) entryMessage(now time.Duration, m *EntryMessage) {
	c.entries[m.From] = now
	c.leaving.hear(now, m.Message.Leaving)
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
		c.work.met(m.Message.Key)
	case relay.Find:
		c.learnStart(now, m)
		c.find(now, m)
	case relay.FindMany:
		c.learnStart(now, m)
		c.findMany(now, m)
	case relay.HandoverOffer, relay.HandoverPart:
		c.tableMessage(now, m)
	}
}

// open passes a SYN to the target, unless the target can't take it now.
func (c *Core) open(now time.Duration, m *EntryMessage) {
	c.slots = int(m.Message.Slots)
	if reason := c.refusal(now, m); reason != relay.ReasonNone {
		c.refuse(now, m, reason)

		return
	}
	f, ok := c.flows[m.Message.Key]
	switch {
	case ok && f.opening():
		// A copy. To refuse it would end a flow that the target may have opened. Or the
		// caller uses the port of a held flow again.
		if f.state == stateHeld {
			f.opened = now
		}
		c.passOpen(now, f, m)
	case c.room():
		c.backlog.remove(m.Message.Key)
		c.admit(now, m)
	default:
		c.wait(now, m)
	}
}

// wait puts a SYN into the backlog. The one that would be the last to go is refused if
// the target can't get to it in time.
func (c *Core) wait(now time.Duration, m *EntryMessage) {
	if c.backlog.put(now, m) {
		c.note(now, Note{
			Decision: Waiting,
			Key:      m.Message.Key,
			Entry:    m.From,
			Count:    c.backlog.size(),
		})
	}
	if c.backlog.size() > c.reachable() {
		w := c.backlog.last()
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
		opened: now,
	}
	c.flows[m.Message.Key] = f
	c.work.expect(now, m.Message.Key)
	c.passOpen(now, f, m)
}

func (c *Core) passOpen(now time.Duration, f *flow, m *EntryMessage) {
	f.entry = m.From
	f.used = now
	c.toTarget(now, m.Message.Packet, true)
}

// opening reports whether the target got the flow's SYN and may hold the flow.
func (f *flow) opening() bool {
	return f.state != stateFree && f.state != stateEnded
}

// open reports whether the target has opened the flow, as far as is known.
func (f *flow) open() bool {
	switch f.state {
	case stateAnswered, stateHeld, stateAssumed:
		return true
	default:
		return false
	}
}

func (c *Core) refusal(now time.Duration, m *EntryMessage) relay.Reason {
	if m.Message.Service != c.Service {
		return relay.ReasonWrongService
	}
	if c.target.down && !c.target.tryAgain(now) {
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
	c.answer(m.From, relay.Message{
		Kind:   relay.Returned,
		Reason: reason,
		Key:    m.Message.Key,
		Packet: m.Message.Packet,
	})
}

// deliver passes a packet to the target if the target holds the flow. A packet
// of a flow that is not known here is passed on only by an agent that has
// missed the flow's beginning.
func (c *Core) deliver(now time.Duration, m *EntryMessage) {
	k := m.Message.Key
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
	if c.mayPrecede(f) {
		f.state = stateProbed
	}
	if !f.takes(&m.Segment) {
		c.work.met(k)
		c.refuse(now, m, relay.ReasonNotHeld)

		return
	}
	if c.target.down {
		c.refuse(now, m, relay.ReasonTargetDown)

		return
	}

	f.entry = m.From
	f.used = now
	f.ack = m.Segment.Ack
	switch f.state {
	case stateAnswered:
		f.state = stateHeld
	case stateProbed:
		c.probes[k] = f
	}
	switch {
	case m.Segment.Flags.Has(segment.RST):
		c.work.drop(k)
	case m.Segment.Len > 0 && f.state != stateEnded:
		c.work.begin(now, k)
	}
	c.toTarget(now, m.Message.Packet, m.Segment.Len > 0)
	if m.Message.Kind != relay.Deliver && f.state != stateProbed {
		c.answer(m.From, relay.Message{
			Kind: relay.Owned,
			Key:  k,
		})
	}
}

// mayPrecede reports whether the target may have held the flow since before the agent's start,
// though all that passed was a SYN: it may have been a copy.
func (c *Core) mayPrecede(f *flow) bool {
	return f.state == statePlaced && !c.Complete
}

// takes reports whether a caller's packet may go to the target.
func (f *flow) takes(s *segment.Segment) bool {
	switch f.state {
	case statePlaced, stateFree:
		return false
	case stateAnswered:
		// The caller acknowledges the one target whose answer it chose.
		return s.Flags.Has(segment.ACK) && s.Ack == f.synAck+1
	default:
		return true
	}
}

// learnStart takes the target's start into account: one that started no earlier
// than the agent holds no flow that the agent does not know.
func (c *Core) learnStart(now time.Duration, m *EntryMessage) {
	if c.Complete || m.Message.Born == 0 || !c.fresh(m.Message.Born) {
		return
	}
	c.becomeComplete(now, m.From)
}

// fresh reports whether a target that started then started with the agent or after it.
// Both times are of the VM's clock, which may have jumped in between. If the agent saw the
// target listen at its own start, a later start of the target shows a clock that was set
// back; or the target has started again, and the agent stays unsure until a packet is
// refused.
func (c *Core) fresh(born int64) bool {
	if c.Listened && born > c.Started+startSlack.Milliseconds() {
		return false
	}

	return born >= c.Started-freshTime.Milliseconds()
}

// becomeComplete notes that the target holds no flow that is not known here: it has
// just started, or nothing listens at its address any more.
func (c *Core) becomeComplete(now time.Duration, entry netip.AddrPort) {
	if c.Complete {
		return
	}
	c.Complete = true
	c.note(now, Note{
		Decision: TargetFresh,
		Entry:    entry,
	})
}

// find answers an entry that looks for the owner of a flow.
func (c *Core) find(now time.Duration, m *EntryMessage) {
	if !c.keepQuestion(now, m.From, m.Message.Key) {
		c.tell(m.From, m.Message.Key)
	}
}

func (c *Core) tell(to netip.AddrPort, k segment.Key) {
	c.answer(to, relay.Message{
		Kind: c.holds(k),
		Key:  k,
	})
}

// findMany is find for many flows.
func (c *Core) findMany(now time.Duration, m *EntryMessage) {
	if keys := c.askedMany(now, m); len(keys) > 0 {
		c.tellMany(m.From, keys)
	}
}

// tellMany is tell for many flows, at most relay.MaxKeys.
func (c *Core) tellMany(to netip.AddrPort, keys []segment.Key) {
	found := []relay.Kind{}
	for _, k := range keys {
		found = append(found, c.holds(k))
	}
	c.answer(to, relay.Message{
		Kind:  relay.Answers,
		Keys:  keys,
		Found: found,
	})
}

func (c *Core) holds(k segment.Key) relay.Kind {
	f, ok := c.flows[k]
	switch {
	case !ok && c.Complete:
		return relay.NotOwned
	case !ok:
		return relay.Unsure
	}
	if c.mayPrecede(f) {
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

func (c *Core) toTarget(now time.Duration, packet []byte, asks bool) {
	c.target.sent(now, asks)
	c.commands = append(c.commands, ToTarget{
		Packet: packet,
	})
}
