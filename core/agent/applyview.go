package agent

import (
	"slices"
	"time"
)

// applyView applies a new view. A view of an older ticket is ignored; one of
// the same ticket renews the lease.
func (c *Core) applyView(v *View) {
	if v == nil || c.view != nil && v.Ticket < c.view.Ticket {
		return
	}

	old := c.view
	wasConfirmed := c.confirmed()
	c.view = v
	c.limiter.Slots = v.Slots
	c.limiter.SuggestServiceTime(v.ServiceTime)
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
	if !wasConfirmed {
		c.markPeersHeard()
	}
	c.releaseHeld()
}

// markPeersHeard restarts the time in which peers must send a heartbeat, after
// a time without a confirmed view. This process may have been paused then, so
// the silence says nothing about the peers.
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

// updateGroups updates the groups after the target's service or peers changed.
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

// leaveService keeps the group of the service that the target has left, for the
// flows that remain.
func (c *Core) leaveService() {
	if c.group == nil {
		return
	}
	c.formerGroups = append(c.formerGroups, c.group)
	c.group = nil
	c.watchServices()
}

// groupForService returns the group of the target's new service, which may be a
// former one.
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

// watchServices reports the services of the former groups.
func (c *Core) watchServices() {
	m := WatchServices{
		Services: make([]uint64, 0, len(c.formerGroups)),
	}
	for _, g := range c.formerGroups {
		m.Services = append(m.Services, g.service)
	}
	c.emit(m)
}

// formerGroupInterval is the time between two removals of the groups of former
// services without flows. Until its removal a group still serves late packets.
const formerGroupInterval = time.Minute

// dropFormerGroups removes the groups of former services without flows.
func (c *Core) dropFormerGroups() {
	if len(c.formerGroups) == 0 || c.now-c.drain.formerCheckedAt < formerGroupInterval {
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
