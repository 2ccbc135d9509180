package conntrack

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// stopBlockTime is how long after a planned stop the process takes no new flow, in
// case it keeps running. It is longer than any entry keeps the table, which lacks such a
// flow: the next process would have to let its target decide on it.
const stopBlockTime = 2 * maxHandoverTime

// plannedStop is the state of the last planned stop of the process.
type plannedStop struct {
	// announced stays set: a process that has announced its stop ends. reason is what
	// entries are told of the target.
	announced   bool
	announcedAt time.Duration
	reason      relay.Reason
	// parts are the parts of the flow table as of the stop; recipients are the entries
	// that receive them; sentDatagrams is the number of parts sent so far, over all
	// recipients.
	parts         []*relay.Table
	recipients    []netip.AddrPort
	sentDatagrams int
}

// active reports whether new flows of the target are blocked because of the stop.
func (s *plannedStop) active(now time.Duration) bool {
	return s.announced && now-s.announcedAt < stopBlockTime
}

// begin notes a Stop and reports whether it is the first one of a stop.
func (s *plannedStop) begin(now time.Duration, m Stop) bool {
	first := !s.active(now)
	if first {
		*s = plannedStop{
			announced:   true,
			announcedAt: now,
		}
	}
	if m.TargetEnded {
		s.reason = relay.ReasonTargetDown
	}

	return first
}

// stop handles a planned stop. It tells all entries that the coming silence is planned,
// returns the queued SYNs to them, and hands the flow table over to some of them. All later
// messages tell the stop as well: an entry may be heard first after the announcement, or miss
// it. If the target has ended, stop also resets the flows that the target held: callers of
// idle flows then open a new one before their next request, which they may be unable to
// repeat.
func (c *Core) stop(now time.Duration, m Stop) {
	first := c.lastStop.begin(now, m)
	if m.TargetEnded {
		c.resetHeldFlows(now)
	}
	c.refuseAllWaiting(now, relay.ReasonFull)
	for _, a := range slices.SortedFunc(maps.Keys(c.entries), netip.AddrPort.Compare) {
		c.announceStop(a)
	}
	if first && !m.TargetEnded && c.Policy.HandoverTime > 0 {
		c.snapshotTable(now)
	}
	c.handOver()
}

// announceStop tells an entry that the process stops as planned.
func (c *Core) announceStop(to netip.AddrPort) {
	c.appendToEntry(ToEntry{
		To: to,
		Message: relay.Message{
			Kind:   relay.Stopping,
			Reason: c.lastStop.reason,
		},
	})
}

// blockedByStop reports whether an entry's message came too late because the process has
// already written its table, and refuses new flows. Messages that would change the state
// of a flow in the table are dropped: callers and entries retransmit them.
func (c *Core) blockedByStop(now time.Duration, m *EntryMessage) bool {
	if !c.lastStop.active(now) {
		return false
	}
	f, known := c.flows[m.Message.Key]
	switch m.Message.Kind {
	case relay.Open:
		// As in open, a retransmitted SYN of a flow that the target may hold is not
		// refused.
		if !known || !f.mayBeHeld() {
			c.refuse(now, m, relay.ReasonFull)
		}

		return true
	case relay.Deliver, relay.Confirm, relay.Probe:
		return known && f.state == stateAnswered
	default:
		return false
	}
}

// blocksSYNAnswer reports whether a packet of the target must be dropped because it would
// open a flow that the table may lack.
func (c *Core) blocksSYNAnswer(now time.Duration, s *segment.Segment) bool {
	return c.lastStop.active(now) && s.Flags.Has(segment.SYN) && !s.Flags.Has(segment.Bounced)
}
