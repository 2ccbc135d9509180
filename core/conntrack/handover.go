package conntrack

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// handoverEntries is the number of entries that get the flow table at a planned stop.
	// Entries stop as well, and each datagram may be lost.
	handoverEntries = 3
	// handoverHeard is how lately an entry has to be heard to count as one that runs.
	handoverHeard = 3 * time.Second
	// maxHandover bounds the datagrams that hand one table over. They are about 460 KB,
	// which take 0.4 s of a link of 10 Mbit/s.
	maxHandover = handoverEntries * relay.MaxParts
	// stoppedTime is how long after a planned stop the process takes no new flow, should
	// it go on. It has to be longer than any entry keeps the table, which lacks the flow.
	stoppedTime = 2 * maxHandoverTime
)

// plannedStop is the last planned stop of the process.
type plannedStop struct {
	announced bool
	at        time.Duration
	// parts are those of the flow table as of the stop, for entries; sent is the
	// number of datagrams that carried one.
	parts   []*relay.Table
	entries []netip.AddrPort
	sent    int
}

// active reports whether the target may get no new flow because of the stop.
func (s *plannedStop) active(now time.Duration) bool {
	return s.announced && now-s.at < stoppedTime
}

// handOver sends the flow table to a few entries, which give it back to the next process.
// Copies of a stop send it again while its bound allows that.
func (c *Core) handOver(now time.Duration, m Stop) {
	s := &c.stopped
	if !s.active(now) {
		*s = plannedStop{
			announced: true,
			at:        now,
		}
		if !m.TargetEnded && c.Policy.HandoverTime > 0 {
			c.writeTable(now)
		}
	}
	datagrams := len(s.parts) * len(s.entries)
	if s.sent+datagrams > maxHandover {
		return
	}
	s.sent += datagrams
	for _, t := range s.parts {
		for _, a := range s.entries {
			c.answer(a, relay.Message{
				Kind:  relay.Handover,
				Table: t,
			})
		}
	}
}

// writeTable notes what the target holds now. Nothing opens a flow at the target until
// the next process has started: see blockedByStop and answersBlocked.
func (c *Core) writeTable(now time.Duration) {
	s := &c.stopped
	id := c.wall(now)
	s.entries = c.handoverTakers(now, id)
	if len(s.entries) == 0 {
		return
	}
	flows := c.tableFlows(now)
	most := relay.MaxParts * relay.MaxFlows
	complete := c.Complete && len(flows) <= most
	flows = flows[:min(len(flows), most)]
	c.note(now, Note{
		Decision: HandedOver,
		Count:    len(flows),
	})
	parts := max(1, (len(flows)+relay.MaxFlows-1)/relay.MaxFlows)
	for part := range parts {
		first := part * relay.MaxFlows
		s.parts = append(s.parts, &relay.Table{
			ID:       id,
			Part:     uint8(part),
			Parts:    uint8(parts),
			Complete: complete,
			Flows:    flows[first:min(first+relay.MaxFlows, len(flows))],
		})
	}
}

// tableFlows returns the flows that the target holds or may hold. One whose SYN it has
// not answered is not among them: its answer does not reach the caller any more.
func (c *Core) tableFlows(now time.Duration) []relay.TableFlow {
	list := []relay.TableFlow{}
	for _, k := range segment.SortedKeys(c.flows) {
		f := c.flows[k]
		x := relay.TableFlow{
			Key:  k,
			Idle: uint8(min((now-f.used)/time.Second, 255)),
			Seq:  f.ack,
		}
		switch f.state {
		case stateAnswered:
			x.State = relay.FlowAnswered
			x.Seq = f.synAck
		case stateHeld:
			x.State = relay.FlowHeld
		case stateAssumed, stateProbed:
			x.State = relay.FlowAssumed
		default:
			continue
		}
		list = append(list, x)
	}

	return list
}

// handoverTakers returns the entries that get the table: of those that were heard
// lately the first by rendezvous hashing, so that the tables of agents that stop
// together spread; if they are too few, those that were heard last.
func (c *Core) handoverTakers(now time.Duration, id int64) []netip.AddrPort {
	list := []netip.AddrPort{}
	for a := range c.entries {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int {
		x, y := c.entries[a], c.entries[b]
		if now-x > handoverHeard || now-y > handoverHeard {
			return cmp.Or(cmp.Compare(y, x), a.Compare(b))
		}

		return cmp.Or(cmp.Compare(takerHash(b, id), takerHash(a, id)), a.Compare(b))
	})

	return list[:min(len(list), handoverEntries)]
}

func takerHash(a netip.AddrPort, id int64) uint64 {
	ip := a.Addr().As16()
	x := binary.BigEndian.Uint64(ip[8:]) ^ uint64(a.Port())<<48

	return segment.Mix(segment.Mix(x) + uint64(id))
}

// wall is the time of day in Unix milliseconds, as Started tells it.
func (c *Core) wall(now time.Duration) int64 {
	return c.Started + (now - c.restore.began).Milliseconds()
}

// blockedByStop reports whether a message of an entry came too late for a process that
// has written its table, and refuses new flows. What would change the state of a flow
// in the table is dropped: callers and entries send it again.
func (c *Core) blockedByStop(now time.Duration, m *EntryMessage) bool {
	if !c.stopped.active(now) {
		return false
	}
	f, known := c.flows[m.Message.Key]
	switch m.Message.Kind {
	case relay.Open:
		// A copy of a SYN that the target got is not refused, as in open.
		if !known || !f.opening() {
			c.refuse(now, m, relay.ReasonFull)
		}

		return true
	case relay.Deliver, relay.Confirm, relay.Probe:
		return known && f.state == stateAnswered
	default:
		return false
	}
}

// answersBlocked reports whether a packet of the target would open a flow that the table
// may lack.
func (c *Core) answersBlocked(now time.Duration, s *segment.Segment) bool {
	return c.stopped.active(now) && s.Flags.Has(segment.SYN) && !s.Flags.Has(segment.Bounced)
}
