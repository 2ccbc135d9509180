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
	// handoverRecipients is the number of entries that receive the flow table at a planned
	// stop. More than one is needed because entries stop as well and any datagram may be
	// lost.
	handoverRecipients = 3
	// maxRecipientSilence bounds how long ago an entry was last heard for it to count as
	// running.
	maxRecipientSilence = 3 * time.Second
	// maxHandoverDatagrams bounds the datagrams that hand over one table. They are about
	// 460 KB, which take 0.4 s on a link of 10 Mbit/s.
	maxHandoverDatagrams = handoverRecipients * relay.MaxParts
)

// handOver sends the flow table to a few entries, which return it to the next process. A
// repeated Stop sends the table again within the bound of maxHandoverDatagrams.
func (c *Core) handOver() {
	s := &c.lastStop
	datagrams := len(s.parts) * len(s.recipients)
	if s.sentDatagrams+datagrams > maxHandoverDatagrams {
		return
	}
	s.sentDatagrams += datagrams
	for _, t := range s.parts {
		for _, a := range s.recipients {
			c.appendToEntry(ToEntry{
				To: a,
				Message: relay.Message{
					Kind:  relay.Handover,
					Table: t,
				},
			})
		}
	}
}

// snapshotTable records what the target holds now. No flow opens at the target until the
// next process has started: see blockedByStop and blocksSYNAnswer.
func (c *Core) snapshotTable(now time.Duration) {
	s := &c.lastStop
	id := c.wallClock(now)
	s.recipients = c.chooseRecipients(now, id)
	if len(s.recipients) == 0 {
		return
	}
	flows := c.tableFlows(now)
	maxFlows := relay.MaxParts * relay.MaxFlows
	flows = flows[:min(len(flows), maxFlows)]
	c.note(now, Note{
		Decision: HandedOver,
		Count:    len(flows),
	})
	parts := max(1, (len(flows)+relay.MaxFlows-1)/relay.MaxFlows)
	for part := range parts {
		start := part * relay.MaxFlows
		s.parts = append(s.parts, &relay.Table{
			ID:    id,
			Part:  uint8(part),
			Parts: uint8(parts),
			Flows: flows[start:min(start+relay.MaxFlows, len(flows))],
		})
	}
}

// tableFlows returns the flows that the target holds or may hold. It omits flows whose SYN
// the target has not answered, because that answer can no longer reach the caller.
func (c *Core) tableFlows(now time.Duration) []relay.TableFlow {
	list := []relay.TableFlow{}
	for _, k := range segment.SortedKeys(c.flows) {
		f := c.flows[k]
		x := relay.TableFlow{
			Key:  k,
			Idle: uint8(min((now-f.lastUsed)/time.Second, 255)),
			Seq:  f.lastAck,
		}
		switch f.state {
		case stateAnswered:
			x.State = relay.FlowAnswered
			x.Seq = f.synAckSeq
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

// chooseRecipients returns the entries that receive the table. Entries heard within
// maxRecipientSilence are ranked by rendezvous hashing, so that the tables of agents that
// stop together spread over the entries; the remaining places go to the entries that were
// heard last.
func (c *Core) chooseRecipients(now time.Duration, id int64) []netip.AddrPort {
	list := []netip.AddrPort{}
	for a := range c.entries {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int {
		x, y := c.entries[a], c.entries[b]
		if now-x > maxRecipientSilence || now-y > maxRecipientSilence {
			return cmp.Or(cmp.Compare(y, x), a.Compare(b))
		}

		return cmp.Or(cmp.Compare(recipientHash(b, id), recipientHash(a, id)), a.Compare(b))
	})

	return list[:min(len(list), handoverRecipients)]
}

func recipientHash(a netip.AddrPort, id int64) uint64 {
	ip := a.Addr().As16()
	x := binary.BigEndian.Uint64(ip[8:]) ^ uint64(a.Port())<<48

	return segment.Mix(segment.Mix(x) + uint64(id))
}

// wallClock returns the time of day in Unix milliseconds, on the same clock as Started.
func (c *Core) wallClock(now time.Duration) int64 {
	return c.Started + (now - c.restore.startedAt).Milliseconds()
}
