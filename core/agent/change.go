package agent

import (
	"slices"
	"time"
)

// applyView takes over a new view. Views of older tickets are ignored; one of
// the same ticket renews the lease.
func (c *Core) applyView(v *View) {
	if v == nil || c.view != nil && v.Ticket < c.view.Ticket {
		return
	}

	old := c.view
	was := c.confirmed()
	c.view = v
	c.limiter.Slots = v.Slots
	c.limiter.Suggest(v.ServiceTime)
	if v.Known {
		c.zone = v.Zone
	}
	c.updateGroups(old)
	c.updateDrain()
	if old != nil && old.Known && !old.ZoneInService && v.ZoneInService {
		c.limiter.Failed(c.now)
	}
	if v.zoneOut(c.zone) || v.Known && !v.ZoneInService {
		c.giveUpAll(&c.Counters.FlowsGivenUp)
	}
	if !c.confirmed() {
		return
	}
	if !was {
		c.markPeersHeard()
	}
	c.releaseHeld()
}

// markPeersHeard follows a time without a confirmed view, in which the own process may
// have been paused: peers count as heard until they have had time to speak.
func (c *Core) markPeersHeard() {
	if c.group == nil {
		return
	}
	for _, q := range c.group.peers {
		if !q.suspected {
			q.heard = max(q.heard, c.now)
		}
	}
}

// updateGroups follows a change of the own service or of the peers.
func (c *Core) updateGroups(old *View) {
	v := c.view
	if !v.Known {
		c.leaveService()
		return
	}
	if c.group != nil && c.group.service != v.Service {
		c.leaveService()
	}
	if c.group == nil {
		c.group = c.groupForService(v.Service)
	}
	if old == nil || old.Ticket != v.Ticket || !slices.Equal(old.Peers, v.Peers) {
		c.group.update(c.now, v.Peers)
	}
	for _, f := range v.Former {
		for _, g := range c.formerGroups {
			if g.service == f.Service {
				g.update(c.now, f.Peers)
			}
		}
	}
}

// leaveService keeps the group of the service that the own target has left for
// the flows that remain.
func (c *Core) leaveService() {
	if c.group == nil {
		return
	}
	c.formerGroups = append(c.formerGroups, c.group)
	c.group = nil
	c.watchServices()
}

// groupForService returns the group of the new service, which may be a former one.
func (c *Core) groupForService(service uint64) *group {
	for i, g := range c.formerGroups {
		if g.service == service {
			c.formerGroups = slices.Delete(c.formerGroups, i, i+1)
			c.watchServices()
			return g
		}
	}

	return &group{
		service: service,
	}
}

func (c *Core) watchServices() {
	m := WatchServices{
		Services: make([]uint64, 0, len(c.formerGroups)),
	}
	for _, g := range c.formerGroups {
		m.Services = append(m.Services, g.service)
	}
	c.emit(m)
}

// formerGroupTime is how long the group of a former service without flows is kept
// for late packets.
const formerGroupTime = time.Minute

// dropFormerGroups forgets the groups of former services without flows.
func (c *Core) dropFormerGroups() {
	if len(c.formerGroups) == 0 || c.now-c.drain.formerCheckedAt < formerGroupTime {
		return
	}
	c.drain.formerCheckedAt = c.now
	used := map[uint64]bool{}
	for k := range c.flows.flows {
		used[k.service] = true
	}
	n := len(c.formerGroups)
	c.formerGroups = slices.DeleteFunc(c.formerGroups, func(g *group) bool {
		return !used[g.service]
	})
	if len(c.formerGroups) != n {
		c.watchServices()
	}
}
