package steer

import (
	"net/netip"
	"slices"
	"time"
)

// maxUnlistedAgents bounds the known agents beyond one for each listed or departed target.
// Searches query those of them that were heard. An entry hears such an agent without having
// sent it anything only if the previous process of the entry had.
const maxUnlistedAgents = 1024

// admits reports whether a message of an agent is handled. Too many addresses without a
// known target would take memory, and each search would query them.
func (c *Core) admits(from netip.AddrPort) bool {
	if _, known := c.agents[from]; known || c.hasKnownTarget(from) {
		return true
	}

	return len(c.agents) < len(c.listed)+len(c.listState.departed)+maxUnlistedAgents
}

// hasKnownTarget reports whether an agent's target is listed or departed.
func (c *Core) hasKnownTarget(a netip.AddrPort) bool {
	_, listed := c.listed[a]
	_, departed := c.listState.departed[a]

	return listed || departed
}

// evictUnlisted removes the agents whose flows have all ended: those whose target is
// neither listed nor departed and that were not heard for MaxFlowAge or, if they never
// were, neither queried nor sent a packet for as long.
func (c *Core) evictUnlisted(now time.Duration) {
	busy := map[netip.AddrPort]bool{}
	for _, s := range c.searches {
		for a := range s.queried {
			if !c.hasKnownTarget(a) {
				busy[a] = true
			}
		}
	}
	c.agentOrder = slices.DeleteFunc(c.agentOrder, func(addr netip.AddrPort) bool {
		if c.hasKnownTarget(addr) || busy[addr] || len(c.queries.waiting[addr]) > 0 {
			return false
		}
		a := c.agents[addr]
		last := a.heard
		if !a.everHeard {
			last = max(a.lastQuery, a.awaitingSince)
		}
		if now-last < c.MaxFlowAge {
			return false
		}
		delete(c.agents, addr)

		return true
	})
}
