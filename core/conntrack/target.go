package conntrack

import (
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// downPackets is the number of packets that ask for an answer which a target leaves
	// unanswered before it counts as down.
	downPackets = 3
	// askGap is the time between two such packets from which the earlier ones count no
	// more: the ends of a flow repeat a packet within 1.6 s, so they were lost or given up.
	askGap = 2 * time.Second
	// retryTime is the time between two SYNs that try a target that is down.
	retryTime = 100 * time.Millisecond
)

// target is what an agent believes of its target.
type target struct {
	// heard is when the target sent anything.
	heard time.Duration
	// waiting counts the packets since then that ask for an answer, the first of
	// them sent at since, the last at asked. None came more than askGap after another.
	waiting int
	since   time.Duration
	asked   time.Duration
	down    bool
	tried   time.Duration
	refusal bool
}

func (t *target) age(now time.Duration) time.Duration {
	return now - t.heard
}

func (t *target) sent(now time.Duration, asks bool) {
	if !asks {
		return
	}
	if now-t.asked > askGap {
		t.waiting = 0
	}
	if t.waiting == 0 {
		t.since = now
	}
	t.asked = now
	t.waiting++
}

func (t *target) hear(now time.Duration) {
	t.heard = now
	t.waiting = 0
	t.refusal = false
}

// tryAgain allows one SYN each retryTime to a target that is down.
func (t *target) tryAgain(now time.Duration) bool {
	if now-t.tried < retryTime {
		return false
	}
	t.tried = now

	return true
}

// silent reports whether the target leaves packets without any reaction.
func (t *target) silent(now, downTime time.Duration) bool {
	if t.refusal {
		return true
	}

	return t.waiting >= downPackets && now-t.since >= downTime
}

// checkTarget notes a target that no longer reacts, and resets its flows: their
// callers can go to another target. A caller whose flow is idle then opens
// another one for its next request, which it may be unable to repeat.
func (c *Core) checkTarget(now time.Duration) {
	if c.target.down || !c.target.silent(now, c.Policy.DownTime) {
		return
	}
	c.target.down = true
	c.target.tried = now
	c.flaps.lost(now)
	c.note(now, Note{
		Decision: TargetDown,
		Count:    c.target.waiting,
	})
	c.loseAll(now)
	c.handBack(now, relay.ReasonTargetDown)
}

// loseAll resets the flows that the target held.
func (c *Core) loseAll(now time.Duration) {
	for _, k := range segment.SortedKeys(c.flows) {
		if f := c.flows[k]; f.state == stateHeld {
			c.loseFlow(now, k, f, f.ack)
		}
	}
}

// loseFlow resets a flow that the target does not hold any more.
func (c *Core) loseFlow(now time.Duration, k segment.Key, f *flow, seq uint32) {
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

func (c *Core) targetPacket(now time.Duration, m *TargetPacket) {
	c.target.hear(now)
	if c.target.down {
		c.target.down = false
		c.note(now, Note{
			Decision: TargetBack,
		})
	}
	if m.Segment.Flags.Has(segment.Bounced) {
		c.bounced(now, m)

		return
	}
	c.learn(now, m)
	c.commands = append(c.commands, ToCaller{
		Key:    m.Segment.Key,
		Packet: m.Packet,
	})
}

// learn notes what a packet of the target shows of its flow.
func (c *Core) learn(now time.Duration, m *TargetPacket) {
	k := m.Segment.Key
	f, ok := c.flows[k]
	if !ok {
		f = &flow{
			state: stateProbed,
		}
		c.flows[k] = f
	}
	f.used = now
	if m.Segment.Flags.Has(segment.SYN) {
		if f.replaces(m.Segment.Seq) {
			c.replace(now, k, f)
		}
		f.notePosition(&m.Segment)
		c.learnAnswer(now, k, f, m.Segment.Seq)

		return
	}
	f.notePosition(&m.Segment)
	if m.Segment.Flags.Has(segment.RST) {
		if _, busy := c.work.requests[k]; busy {
			// A target that takes flows and resets their requests seems idle.
			c.flaps.flowLost(now)
			c.note(now, Note{
				Decision: TargetReset,
				Key:      k,
				Entry:    f.entry,
			})
		}
		c.work.drop(k)
		f.state = stateEnded

		return
	}
	if m.Segment.Len > 0 {
		c.answered(now, k)
	}
	if f.state != stateEnded && f.state != stateHeld {
		c.hold(now, k, f)
	}
	if m.Segment.Flags.Has(segment.FIN) {
		c.work.drop(k)
	}
}

// answered notes the target's answer to a request.
func (c *Core) answered(now time.Duration, k segment.Key) {
	if took, ok := c.work.end(now, k); ok {
		c.measure(AnswerTime, took)
	}
}

// learnAnswer notes the target's answer to a SYN.
func (c *Core) learnAnswer(now time.Duration, k segment.Key, f *flow, seq uint32) {
	if f.state == stateHeld {
		return
	}
	first := f.state != stateAnswered
	f.state = stateAnswered
	f.synAck = seq
	delete(c.probes, k)
	if !first {
		return
	}
	c.note(now, Note{
		Decision: Opened,
		Key:      k,
		Entry:    f.entry,
	})
	if f.entry.IsValid() {
		c.measure(AcceptTime, now-f.opened)
		c.answer(f.entry, relay.Message{
			Kind: relay.Accepted,
			Key:  k,
		})
	}
}

// hold notes that the target holds a flow that began before this process.
func (c *Core) hold(now time.Duration, k segment.Key, f *flow) {
	f.state = stateHeld
	delete(c.probes, k)
	c.note(now, Note{
		Decision: Adopted,
		Key:      k,
		Entry:    f.entry,
	})
	if f.entry.IsValid() {
		c.answer(f.entry, relay.Message{
			Kind: relay.Owned,
			Key:  k,
		})
	}
}

// bounced handles a packet that the target handed back.
func (c *Core) bounced(now time.Duration, m *TargetPacket) {
	k := m.Segment.Key
	f, ok := c.flows[k]
	if !ok {
		return
	}
	switch {
	case m.Segment.Opens() && f.open():
		// A copy: the target has opened the flow and takes no new ones now.
	case m.Segment.Opens():
		c.forget(k)
		c.giveBack(now, m, f, relay.ReasonFull, Refused)
	case f.state == stateProbed, f.state == stateAssumed, f.state == stateAnswered:
		c.work.drop(k)
		f.state = stateFree
		delete(c.probes, k)
		c.giveBack(now, m, f, relay.ReasonNotHeld, NotHeld)
	case f.state == stateHeld && f.another(m.Segment.Ack):
		// The packet is of another flow, which may live elsewhere or be over. Which one the
		// target holds, if any, its next packets show.
		c.work.drop(k)
		f.state = stateAssumed
		c.giveBack(now, m, f, relay.ReasonNotHeld, NotHeld)
	case f.state == stateHeld, f.state == stateEnded:
		c.flaps.flowLost(now)
		c.loseFlow(now, k, f, m.Segment.Ack)
	}
}

func (c *Core) giveBack(now time.Duration, m *TargetPacket, f *flow, reason relay.Reason, d Decision) {
	c.note(now, Note{
		Decision: d,
		Key:      m.Segment.Key,
		Entry:    f.entry,
		Reason:   reason,
	})
	if !f.entry.IsValid() {
		return
	}
	c.commands = append(c.commands, ToEntry{
		To: f.entry,
		Message: c.withLoad(relay.Message{
			Kind:   relay.Returned,
			Reason: reason,
			Key:    m.Segment.Key,
			Packet: m.Packet,
		}),
		Bounced: true,
	})
}

// tickProbes assumes that a flow is held if the target reacts to others but did not
// bounce the flow's packet: a lone acknowledgement has no answer.
func (c *Core) tickProbes(now time.Duration) {
	for _, k := range segment.SortedKeys(c.probes) {
		f := c.probes[k]
		if now-f.used < probeTime {
			continue
		}
		delete(c.probes, k)
		if c.target.heard >= f.used {
			c.hold(now, k, f)
			f.state = stateAssumed
		}
	}
}
