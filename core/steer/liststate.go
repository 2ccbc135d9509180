package steer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/catalog"
)

const (
	// listFillTime is how long after the first list of this process targets may join the list
	// that others have known for longer: after an outage of the configuration service, living
	// targets are back in the list within about 2 s, and the change arrives a little later.
	listFillTime = catalog.LapseGrace + 2*time.Second
	// maxClockError bounds how far the clocks of two VMs are assumed to differ.
	maxClockError = 10 * time.Second
)

// ageUnknown is the age of a list that was never confirmed.
const ageUnknown = -1

// listState is what an entry knows of the list of targets besides the targets that are
// listed: those that left it, and how current it is.
type listState struct {
	// departed maps the agents of targets that left the list lately to their targets,
	// departedOrder holds them in a fixed order. These targets may hold flows but get no
	// new ones.
	departed      map[netip.AddrPort]*catalog.Member
	departedOrder []netip.AddrPort
	// starts holds the starts of the listed targets.
	starts map[targetStart]bool
	// began is when the first list came.
	began time.Duration
	// confirmed means that the configuration service has confirmed the list, last at
	// confirmedAt.
	confirmed   bool
	confirmedAt time.Duration
	proof       listProof
	// generation counts the changes of the set of agents that may hold a flow. It is not zero
	// once there is a list.
	generation int
}

func (c *Core) setSnapshot(now time.Duration, m CatalogChanged) {
	old := c.listed
	if old == nil {
		c.listState.began = now
	}
	n := m.Snapshot
	c.snapshot = n
	c.listed = map[netip.AddrPort]*catalog.Member{}
	c.listedOrder = c.listedOrder[:0]
	for _, service := range slices.Sorted(maps.Keys(n.Groups)) {
		g := n.Groups[service]
		for i := range g {
			c.addListed(now, &m, &g[i], old)
		}
	}
	c.setDeparted(n.Departed)
	c.updateStarts()
	c.markLeaving()
	c.listState.generation++
	if m.Confirmed {
		c.confirmList(now-m.Age, now-m.MaxAge)
	}
}

// addListed adds a listed target. Of several on an agent's VM it keeps the one that takes
// precedence: an agent has one target.
func (c *Core) addListed(now time.Duration, m *CatalogChanged, t *catalog.Member, old map[netip.AddrPort]*catalog.Member) {
	addr := c.agentOf(t)
	a := c.agent(addr)
	if _, known := old[addr]; !known && c.firstListed(now, m, t) {
		a.spreadUntil = now + c.Policy.SpreadTime
	}
	other, listed := c.listed[addr]
	if !listed {
		c.listedOrder = append(c.listedOrder, addr)
	}
	if !listed || c.snapshot.Config.ComparePrecedence(&t.Target, &other.Target) < 0 {
		c.listed[addr] = t
	}
}

// firstListed reports whether a target that joined the list may be unknown to other entries.
// Those that this process never knew are, unless it lacked targets itself a moment ago; only
// then does the start time decide. Targets that left the list and are back have been known.
func (c *Core) firstListed(now time.Duration, m *CatalogChanged, t *catalog.Member) bool {
	_, departed := c.listState.departed[c.agentOf(t)]
	if !departed && now-c.listState.began > listFillTime {
		return true
	}

	return m.startedWithin(now, t, c.Policy.SpreadTime+maxClockError)
}

// setDeparted sets the targets that left the list, without those that a listed target on the VM
// replaces.
func (c *Core) setDeparted(members []catalog.Member) {
	l := &c.listState
	l.departed = map[netip.AddrPort]*catalog.Member{}
	l.departedOrder = l.departedOrder[:0]
	for i := range members {
		addr := c.agentOf(&members[i])
		t, listed := c.listed[addr]
		if _, duplicate := l.departed[addr]; duplicate || listed && c.snapshot.Config.Replaces(&t.Target, &members[i].Target) {
			continue
		}
		l.departed[addr] = &members[i]
		l.departedOrder = append(l.departedOrder, addr)
	}
}

// markLeaving marks the agents whose targets are draining or departed; messages to them
// carry the mark.
func (c *Core) markLeaving() {
	for addr, a := range c.agents {
		_, departed := c.listState.departed[addr]
		t := c.targetOf(addr)
		a.leaving = departed || t != nil && t.Draining
	}
}

// startedWithin reports whether a target started within the last d.
func (m *CatalogChanged) startedWithin(now time.Duration, t *catalog.Member, d time.Duration) bool {
	return now < t.ColdUntil || t.Born != 0 && m.Wall-t.Born < d.Milliseconds()
}

// confirmList notes that the list was current by an answer of the configuration service that
// arrived at confirmedAt and was made no earlier than madeAt. Earlier times than the known ones
// are ignored.
func (c *Core) confirmList(confirmedAt, madeAt time.Duration) {
	l := &c.listState
	l.proof.record(madeAt)
	if l.confirmed {
		confirmedAt = max(confirmedAt, l.confirmedAt)
	}
	l.confirmed = true
	l.confirmedAt = confirmedAt
}

// listCurrent reports whether the list contains all targets that should have got flows by now:
// new targets wait for SpreadTime if there are others. The time counts from the configuration
// service's own answer.
func (c *Core) listCurrent(now time.Duration) bool {
	return c.listState.confirmed && now-c.listState.confirmedAt <= c.Policy.SpreadTime
}

// listAge returns the time since the list was confirmed; ageUnknown if it never was.
func (c *Core) listAge(now time.Duration) time.Duration {
	if !c.listState.confirmed {
		return ageUnknown
	}

	return now - c.listState.confirmedAt
}

// possibleOwners yields the agents whose targets may hold a flow that another entry placed:
// those of listed targets, those of targets that left the list lately, and those that were
// heard within the age of the oldest flow, whether listed or not. An agent may be yielded
// more than once.
func (c *Core) possibleOwners(now time.Duration, yield func(netip.AddrPort)) {
	for _, addr := range c.listedOrder {
		yield(addr)
	}
	for _, addr := range c.listState.departedOrder {
		yield(addr)
	}
	for _, addr := range c.agentOrder {
		if a := c.agents[addr]; a.everHeard && now-a.heard < c.MaxFlowAge {
			yield(addr)
		}
	}
}
