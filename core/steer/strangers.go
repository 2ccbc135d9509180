package steer

import (
	"net/netip"
	"slices"
	"time"
)

// maxStrangers bounds the agents that are known though their targets are neither listed nor
// departed, beside one for each target that is. Searches ask those of them that were heard. An
// entry hears them without having sent them anything only if the process before it had.
const maxStrangers = 1024

// admits reports whether a message of an agent may be handled: too many addresses that
// no target has would take memory, and questions of each search.
func (c *Core) admits(from netip.AddrPort) bool {
	if _, known := c.agents[from]; known || c.expected(from) {
		return true
	}

	return len(c.agents) < len(c.listed)+len(c.evidence.departed)+maxStrangers
}

// expected reports whether an agent's target is listed or departed.
func (c *Core) expected(a netip.AddrPort) bool {
	_, listed := c.listed[a]
	_, departed := c.evidence.departed[a]

	return listed || departed
}

// evictStrangers forgets the agents whose flows have all ended: neither listed nor departed,
// and not heard, nor asked if they never were, for MaxFlowAge.
func (c *Core) evictStrangers(now time.Duration) {
	busy := map[netip.AddrPort]bool{}
	for _, s := range c.searches {
		for a := range s.asked {
			if !c.expected(a) {
				busy[a] = true
			}
		}
	}
	c.order = slices.DeleteFunc(c.order, func(addr netip.AddrPort) bool {
		if c.expected(addr) || busy[addr] || len(c.questions.waiting[addr]) > 0 {
			return false
		}
		a := c.agents[addr]
		last := a.heard
		if !a.known {
			last = max(a.lastAsk, a.since)
		}
		if now-last < c.MaxFlowAge {
			return false
		}
		delete(c.agents, addr)

		return true
	})
}
