package conntrack

import (
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// minUnanswered is the number of unanswered packets from which the target may count as
	// down. Only packets that expect an answer count.
	minUnanswered = 3
	// maxUnansweredGap is the time between two such packets above which the earlier ones
	// no longer count: the ends of a flow retransmit a packet within 1.6 s, so the earlier
	// ones were lost or given up.
	maxUnansweredGap = 2 * time.Second
	// retryInterval is the minimum time between two SYNs that are passed to a target that
	// is silent or down, to find out whether it is back.
	retryInterval = 100 * time.Millisecond
)

// target is the observed state of the agent's target.
type target struct {
	// lastHeard is when the target last sent a packet.
	lastHeard time.Duration
	// unanswered counts the packets since then that expect an answer, with no gap above
	// maxUnansweredGap between them. firstUnanswered is when the first of them was sent,
	// or when the timeouts were last restarted; lastUnanswered is when the last was sent.
	unanswered      int
	firstUnanswered time.Duration
	lastUnanswered  time.Duration
	// silent means that the target does not respond. It may be slow, so it gets no new flow and
	// keeps those that it holds. down means that nothing listens at its address.
	silent bool
	down   bool
	check  targetCheck
	// lastRetry is when a SYN was last passed to the target although it is silent or down, or
	// when it was found to be so.
	lastRetry time.Duration
}

func (t *target) age(now time.Duration) time.Duration {
	return now - t.lastHeard
}

func (t *target) recordSent(now time.Duration, expectsAnswer bool) {
	if !expectsAnswer {
		return
	}
	if now-t.lastUnanswered > maxUnansweredGap {
		t.unanswered = 0
	}
	if t.unanswered == 0 {
		t.firstUnanswered = now
	}
	t.lastUnanswered = now
	t.unanswered++
}

func (t *target) recordHeard(now time.Duration) {
	t.lastHeard = now
	t.unanswered = 0
	t.check.pending = false
}

// avoided reports whether the target gets no new flows.
func (t *target) avoided() bool {
	return t.silent || t.down
}

// allowRetry allows one SYN per retryInterval to a target that is silent or down.
func (t *target) allowRetry(now time.Duration) bool {
	if now-t.lastRetry < retryInterval {
		return false
	}
	t.lastRetry = now

	return true
}

// isUnresponsive reports whether the target has left packets unanswered for downTime.
func (t *target) isUnresponsive(now, downTime time.Duration) bool {
	return t.unanswered >= minUnanswered && now-t.firstUnanswered >= downTime
}

// handleTargetRefused handles that nothing listens at the target's address. It resets the
// target's flows so that their callers can go to another target. A caller whose flow is idle
// then opens a new one for its next request, which it may be unable to repeat.
func (c *Core) handleTargetRefused(now time.Duration) {
	if !c.target.down {
		c.target.down = true
		c.target.lastRetry = now
		c.damping.recordLoss(now)
		c.note(now, Note{
			Decision: TargetDown,
			Count:    c.target.unanswered,
		})
		c.resetHeldFlows(now)
		c.refuseAllWaiting(now, relay.ReasonTargetDown)
	}
	c.markComplete(now)
}

// resetHeldFlows resets the flows that the target held.
func (c *Core) resetHeldFlows(now time.Duration) {
	for _, k := range segment.SortedKeys(c.flows) {
		if f := c.flows[k]; f.state == stateHeld {
			c.resetLostFlow(now, k, f, f.lastAck)
		}
	}
}

// resetLostFlow resets a flow that the target no longer holds.
func (c *Core) resetLostFlow(now time.Duration, k segment.Key, f *flow, seq uint32) {
	c.note(now, Note{
		Decision: FlowLost,
		Key:      k,
		Entry:    f.entry,
	})
	c.forget(k)
	c.commands = append(c.commands, Reset{
		Key: k,
		Seq: seq,
	})
}

func (c *Core) handleTargetPacket(now time.Duration, m *TargetPacket) {
	c.target.recordHeard(now)
	if c.target.avoided() {
		c.target.silent = false
		c.target.down = false
		c.note(now, Note{
			Decision: TargetBack,
		})
	}
	if m.Segment.Flags.Has(segment.Bounced) {
		c.handleBounce(now, m)

		return
	}
	c.trackTargetPacket(now, m)
	c.commands = append(c.commands, ToCaller{
		Key:    m.Segment.Key,
		Packet: m.Packet,
	})
}

// trackTargetPacket updates a flow from a packet that the target sent.
func (c *Core) trackTargetPacket(now time.Duration, m *TargetPacket) {
	k := m.Segment.Key
	f, ok := c.flows[k]
	if !ok {
		f = &flow{
			state: stateProbed,
		}
		c.flows[k] = f
	}
	f.lastUsed = now
	if m.Segment.Flags.Has(segment.SYN) {
		if f.isReplacedBy(m.Segment.Seq) {
			c.replace(now, k, f)
		}
		f.recordPosition(&m.Segment)
		c.trackSYNAnswer(now, k, f, m.Segment.Seq)

		return
	}
	f.recordPosition(&m.Segment)
	if m.Segment.Flags.Has(segment.RST) {
		if _, busy := c.inflight.requests[k]; busy {
			// A target that accepts flows and resets their requests would otherwise seem
			// idle.
			c.damping.recordLostFlow(now)
			c.note(now, Note{
				Decision: TargetReset,
				Key:      k,
				Entry:    f.entry,
			})
		}
		c.inflight.drop(k)
		f.state = stateEnded

		return
	}
	if m.Segment.Len > 0 {
		c.recordAnswer(now, k)
	}
	if f.state != stateEnded && f.state != stateHeld {
		c.adopt(now, k, f)
	}
	if m.Segment.Flags.Has(segment.FIN) {
		c.inflight.drop(k)
	}
}

// recordAnswer records the target's answer to a request.
func (c *Core) recordAnswer(now time.Duration, k segment.Key) {
	if took, ok := c.inflight.end(now, k); ok {
		c.measure(AnswerTime, took)
	}
}

// trackSYNAnswer updates a flow from the target's answer to its SYN.
func (c *Core) trackSYNAnswer(now time.Duration, k segment.Key, f *flow, seq uint32) {
	if f.state == stateHeld {
		return
	}
	firstAnswer := f.state != stateAnswered
	f.state = stateAnswered
	f.synAckSeq = seq
	delete(c.probes, k)
	if !firstAnswer {
		return
	}
	c.note(now, Note{
		Decision: Opened,
		Key:      k,
		Entry:    f.entry,
	})
	if f.entry.IsValid() {
		c.measure(AcceptTime, now-f.openedAt)
		c.sendToEntry(f.entry, relay.Message{
			Kind: relay.Accepted,
			Key:  k,
		})
	}
}

// adopt records that the target holds a flow that was not known to be held, such as one
// that began before this process.
func (c *Core) adopt(now time.Duration, k segment.Key, f *flow) {
	f.state = stateHeld
	delete(c.probes, k)
	c.note(now, Note{
		Decision: Adopted,
		Key:      k,
		Entry:    f.entry,
	})
	if f.entry.IsValid() {
		c.sendToEntry(f.entry, relay.Message{
			Kind: relay.Owned,
			Key:  k,
		})
	}
}

// handleBounce handles a packet that the target bounced.
func (c *Core) handleBounce(now time.Duration, m *TargetPacket) {
	k := m.Segment.Key
	f, ok := c.flows[k]
	if !ok {
		return
	}
	switch {
	case m.Segment.Opens() && f.isOpen():
		// A retransmitted SYN: the target has opened the flow and takes no new ones now.
	case m.Segment.Opens():
		c.forget(k)
		c.returnBounced(now, m, f, relay.ReasonFull, Refused)
	case f.state == stateProbed, f.state == stateAssumed, f.state == stateAnswered:
		searched := f.state == stateProbed && f.byProbe
		c.inflight.drop(k)
		f.state = stateNotHeld
		delete(c.probes, k)
		if searched {
			c.denials.add(f.entry, k)

			return
		}
		c.returnBounced(now, m, f, relay.ReasonNotHeld, NotHeld)
	case f.state == stateHeld && f.isOtherFlow(m.Segment.Ack):
		// The packet is of another flow, which may be held elsewhere or have ended. Later
		// packets from the target show which of the two it holds, if any.
		c.inflight.drop(k)
		f.state = stateAssumed
		c.returnBounced(now, m, f, relay.ReasonNotHeld, NotHeld)
	case f.state == stateHeld, f.state == stateEnded:
		c.damping.recordLostFlow(now)
		c.resetLostFlow(now, k, f, m.Segment.Ack)
		c.flows[k] = &flow{
			state:    stateNotHeld,
			lastUsed: now,
		}
	}
}

func (c *Core) returnBounced(now time.Duration, m *TargetPacket, f *flow, reason relay.Reason, d Decision) {
	c.note(now, Note{
		Decision: d,
		Key:      m.Segment.Key,
		Entry:    f.entry,
		Reason:   reason,
	})
	if !f.entry.IsValid() {
		return
	}
	c.replyToEntry(ToEntry{
		To: f.entry,
		Message: relay.Message{
			Kind:   relay.Returned,
			Reason: reason,
			Key:    m.Segment.Key,
			Packet: m.Packet,
		},
		Bounced: true,
	})
}

// resolveProbes assumes that the target holds a flow if it has sent other packets since
// but has not bounced the flow's packet within probeTimeout. An answer can't be required,
// because a lone acknowledgement gets none.
func (c *Core) resolveProbes(now time.Duration) {
	for _, k := range segment.SortedKeys(c.probes) {
		f := c.probes[k]
		if now-f.lastUsed < probeTimeout {
			continue
		}
		delete(c.probes, k)
		if c.target.lastHeard >= f.lastUsed {
			c.adopt(now, k, f)
			f.state = stateAssumed
		}
	}
}
