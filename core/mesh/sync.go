package mesh

import (
	"net/netip"
	"slices"

	"ibisfold.example/core/ticket"
)

const (
	// maxZoneOutsSent bounds the newest tickets among which a node looks for
	// zone-out tickets to send unrequested with an exchange.
	maxZoneOutsSent = 8
)

// onRanges compares another node's ranges with the core's tickets. It requests
// what is missing, sends up to available bytes of what the other node lacks,
// and describes differing ranges in more detail. It reports whether nothing is
// missing except tickets whose transfer may take long.
func (c *Core) onRanges(from netip.AddrPort, ranges []Range, available int) bool {
	if len(ranges) > MaxRanges {
		c.counters.InvalidWire++

		return false
	}

	x := c.indexed()
	toFetch := []ticket.Version{}
	toSend := []ticket.Version{}
	reply := []Range{}
	for _, r := range ranges {
		if !x.differs(r) {
			continue
		}
		if r.List {
			toFetch = c.appendMissing(toFetch, r)
			toSend = x.appendSurplus(toSend, r)

			continue
		}
		reply = x.describe(reply, r.From, r.To)
	}

	c.requestTickets(from, toFetch)
	for _, v := range toSend {
		available -= c.offer(from, v, available)
	}
	if reply = fitDatagram(reply); len(reply) > 0 {
		c.send(priorityBulk, from, Summary{
			Ranges:         reply,
			AvailableBytes: uint32(c.budget.available()),
		})

		return false
	}

	return len(ranges) > 0 && c.canWait(toFetch)
}

// canWait reports whether all missing tickets are being transferred in chunks
// and none of them takes a zone out of service.
func (c *Core) canWait(missing []ticket.Version) bool {
	for _, v := range missing {
		if t := c.transfer(v); t == nil || t.urgent {
			return false
		}
	}

	return true
}

// appendMissing appends the versions listed in r that the core lacks.
func (c *Core) appendMissing(versions []ticket.Version, r Range) []ticket.Version {
	if len(r.Items) > MaxItems {
		c.counters.InvalidWire++

		return versions
	}
	for _, v := range r.Items {
		if c.wants(v) {
			versions = append(versions, v)
		}
	}

	return versions
}

// appendSurplus appends the core's versions in the range of r that r doesn't
// list, the newest first.
func (x *index) appendSurplus(surplus []ticket.Version, r Range) []ticket.Version {
	lo, hi := x.bounds(r.From, r.To)
	for i := hi - 1; i >= lo; i-- {
		if !slices.Contains(r.Items, x.versions[i]) {
			surplus = append(surplus, x.versions[i])
		}
	}

	return surplus
}

// fitDatagram cuts ranges to what a datagram holds. The next exchange finds the
// rest.
func fitDatagram(ranges []Range) []Range {
	n := 0
	for i, r := range ranges {
		n += r.bytes()
		if n > maxSummaryBytes || i >= MaxRanges {
			return ranges[:i]
		}
	}

	return ranges
}

// summary describes all tickets of the core.
func (c *Core) summary() []Range {
	return fitDatagram(c.indexed().describe(nil, ticket.Version{}, ticket.Version{}))
}

// sendZoneOuts sends the newest zone-out tickets at once to a node whose
// highest ticket number is lower, whatever budget it has available.
func (c *Core) sendZoneOuts(to netip.AddrPort, highest uint64) {
	x := c.indexed()
	for i := len(x.versions) - 1; i >= 0 && len(x.versions)-i <= maxZoneOutsSent; i-- {
		if x.versions[i].Number <= highest {
			return
		}
		c.offer(to, x.versions[i], 0)
	}
}

// offer sends a held ticket, or announces it if it is large, unless the message
// is longer than available. Zone-out tickets are sent in any case. It returns
// the length of the message in bytes, or 0 if none is sent.
func (c *Core) offer(to netip.AddrPort, v ticket.Version, available int) int {
	b := c.store.body(v)
	if b == nil {
		return 0
	}

	m, p := c.message(v, b), priorityBulk
	if urgent(c.state.Held(v)) {
		p = priorityNormal
	} else if m.Bytes() > available {
		return 0
	}
	if !c.send(p, to, m) {
		return 0
	}

	return m.Bytes()
}

// message returns a Body with the ticket, or an Announce if it is large.
func (c *Core) message(v ticket.Version, body []byte) Wire {
	if len(body) <= MaxPushBytes {
		return Body{
			Version: v,
			Data:    body,
		}
	}

	return Announce{
		Version: v,
		Size:    uint32(len(body)),
		Urgent:  urgent(c.state.Held(v)),
	}
}

func (c *Core) onFetch(from netip.AddrPort, m Fetch) {
	if len(m.Versions) > MaxItems {
		c.counters.InvalidWire++

		return
	}
	for _, v := range m.Versions {
		c.offer(from, v, BudgetBurst)
	}
}
