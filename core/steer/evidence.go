package steer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/catalog"
)

// noAge is the age of a list that was never confirmed.
const noAge = -1

// evidence is what an entry knows of the list of targets besides the list itself.
type evidence struct {
	// departed holds the agents of targets that left the list lately, departing their
	// order. They may hold flows and get no new ones.
	departed  map[netip.AddrPort]*catalog.Member
	departing []netip.AddrPort
	// confirmed means that the configuration service has confirmed the list, last at at.
	confirmed bool
	at        time.Duration
	// generation counts the changes of the set of agents that may hold a flow; zero
	// before the first list.
	generation int
}

func (c *Core) setSnapshot(now time.Duration, m CatalogChanged) {
	old := c.listed
	n := m.Snapshot
	c.snapshot = n
	c.listed = map[netip.AddrPort]*catalog.Member{}
	c.listing = c.listing[:0]
	for _, service := range slices.Sorted(maps.Keys(n.Groups)) {
		g := n.Groups[service]
		for i := range g {
			c.list(now, &m, &g[i], old)
		}
	}
	c.depart(n.Departed)
	c.markLeaving()
	c.evidence.generation++
	if m.Confirmed {
		c.listConfirmed(now - m.Age)
	}
}

// list notes a listed target. A new one at the address of a target that had ended ends
// what its agent said of the earlier one.
func (c *Core) list(now time.Duration, m *CatalogChanged, t *catalog.Member, old map[netip.AddrPort]*catalog.Member) {
	addr := c.agentOf(t)
	before, known := old[addr]
	if !known && m.fresh(now, t, c.Policy.SpreadTime) {
		c.agent(addr).spread = now + c.Policy.SpreadTime
	}
	if a, ok := c.agents[addr]; ok && (!known || before.ID != t.ID || before.Born != t.Born) {
		a.ended = false
	}
	c.listed[addr] = t
	c.listing = append(c.listing, addr)
}

// depart notes the targets that left the list, without those whose address another
// target has now.
func (c *Core) depart(members []catalog.Member) {
	e := &c.evidence
	e.departed = map[netip.AddrPort]*catalog.Member{}
	e.departing = e.departing[:0]
	for i := range members {
		addr := c.agentOf(&members[i])
		_, listed := c.listed[addr]
		if _, twice := e.departed[addr]; listed || twice {
			continue
		}
		e.departed[addr] = &members[i]
		e.departing = append(e.departing, addr)
	}
}

// markLeaving notes which agents are beside targets that leave, for the messages to them.
func (c *Core) markLeaving() {
	for addr, a := range c.agents {
		t, listed := c.listed[addr]
		_, departed := c.evidence.departed[addr]
		a.leaving = departed || listed && t.Draining
	}
}

// fresh reports whether a target started within the last d.
func (m *CatalogChanged) fresh(now time.Duration, t *catalog.Member, d time.Duration) bool {
	return now < t.ColdUntil || t.Born != 0 && m.Wall-t.Born < d.Milliseconds()
}

// listConfirmed notes that the list was the one in force at a time.
func (c *Core) listConfirmed(at time.Duration) {
	e := &c.evidence
	if e.confirmed {
		at = max(at, e.at)
	}
	e.confirmed = true
	e.at = at
}

// listCurrent reports whether the list has all targets that may have got flows: new ones
// wait for SpreadTime before they do. It counts from the service's own answer.
func (c *Core) listCurrent(now time.Duration) bool {
	return c.evidence.confirmed && now-c.evidence.at <= c.Policy.SpreadTime
}

// listAge returns how long ago the list was confirmed; noAge if it never was.
func (c *Core) listAge(now time.Duration) time.Duration {
	if !c.evidence.confirmed {
		return noAge
	}

	return now - c.evidence.at
}

// mayHold returns the agents whose targets may hold a flow that another entry placed:
// those of listed targets, of targets that left the list lately, and those that were
// heard within the age of the oldest flow, whatever the list says of them.
func (c *Core) mayHold(now time.Duration, yield func(netip.AddrPort)) {
	for _, addr := range c.listing {
		yield(addr)
	}
	for _, addr := range c.evidence.departing {
		yield(addr)
	}
	for _, addr := range c.order {
		if a := c.agents[addr]; a.known && now-a.heard < c.MaxFlowAge {
			yield(addr)
		}
	}
}
