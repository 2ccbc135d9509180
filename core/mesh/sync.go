package mesh

import (
	"net/netip"
	"slices"

	"ibisfold.example/core/ticket"
)

const (
	// maxGive bounds the tickets that one message makes a node send.
	maxGive = 16
	// maxAhead bounds the tickets that are sent at once to a node whose
	// highest number is lower.
	maxAhead = 4
)

// onParts compares a summary with the own state: it asks for what is missing,
// sends what the other lacks and describes differing ranges more closely. It
// reports whether nothing is missing but tickets whose transfer may take long.
func (c *Core) onParts(from netip.AddrPort, parts []Part) bool {
	if len(parts) > MaxParts {
		c.counters.InvalidWire++

		return false
	}

	x := c.indexed()
	want := []ticket.Version{}
	give := []ticket.Version{}
	reply := []Part{}
	for _, p := range parts {
		if !x.differs(p) {
			continue
		}
		if p.List {
			want = c.missing(want, p)
			give = x.surplus(give, p)

			continue
		}
		reply = x.describe(reply, p.From, p.To)
	}

	c.request(from, want)
	for i, v := range give {
		if i < maxGive {
			c.offer(from, v)
		}
	}
	if reply = fit(reply); len(reply) > 0 {
		c.send(classSmall, from, Summary{
			Parts: reply,
		})

		return false
	}

	return len(parts) > 0 && c.canWait(want)
}

// canWait reports whether all missing tickets are large ones on their way that
// take no zone out of service.
func (c *Core) canWait(want []ticket.Version) bool {
	for _, v := range want {
		if t := c.transfer(v); t == nil || t.urgent {
			return false
		}
	}

	return true
}

// missing appends the listed versions that the core lacks.
func (c *Core) missing(want []ticket.Version, p Part) []ticket.Version {
	if len(p.Items) > MaxItems {
		c.counters.InvalidWire++

		return want
	}
	for _, v := range p.Items {
		if c.wants(v) {
			want = append(want, v)
		}
	}

	return want
}

// surplus appends the own versions of p's range that p doesn't list, the newest first.
func (x *index) surplus(give []ticket.Version, p Part) []ticket.Version {
	lo, hi := x.bounds(p.From, p.To)
	for i := hi - 1; i >= lo; i-- {
		if !slices.Contains(p.Items, x.versions[i]) {
			give = append(give, x.versions[i])
		}
	}

	return give
}

// fit cuts parts to what a datagram holds. The next exchange finds the rest.
func fit(parts []Part) []Part {
	n := 0
	for i, p := range parts {
		n += p.bytes()
		if n > maxSummaryBytes || i >= MaxParts {
			return parts[:i]
		}
	}

	return parts
}

// summary describes the whole state.
func (c *Core) summary() []Part {
	return fit(c.indexed().describe(nil, ticket.Version{}, ticket.Version{}))
}

// ahead sends the newest tickets to a node whose highest number is lower,
// which saves it a round trip.
func (c *Core) ahead(to netip.AddrPort, highest uint64) {
	x := c.indexed()
	for i := len(x.versions) - 1; i >= 0 && len(x.versions)-i <= maxAhead; i-- {
		if x.versions[i].Number <= highest {
			return
		}
		c.offer(to, x.versions[i])
	}
}

// offer sends a held ticket, or announces it if it is large.
func (c *Core) offer(to netip.AddrPort, v ticket.Version) {
	b := c.store.body(v)
	switch {
	case b == nil:
	case len(b) <= MaxPushBytes:
		c.send(c.repairClass(v), to, Body{
			Version: v,
			Data:    b,
		})
	default:
		c.send(classSmall, to, Announce{
			Version: v,
			Size:    uint32(len(b)),
			Urgent:  urgent(c.state.Held(v)),
		})
	}
}

// repairClass lets zone-out tickets use the reserve of the budget.
func (c *Core) repairClass(v ticket.Version) class {
	if urgent(c.state.Held(v)) {
		return classSmall
	}

	return classBulk
}

func (c *Core) onFetch(from netip.AddrPort, m Fetch) {
	if len(m.Versions) > MaxItems {
		c.counters.InvalidWire++

		return
	}
	for _, v := range m.Versions {
		c.offer(from, v)
	}
}
