package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/segment"
)

// otherTargets is the number of preferred targets that are asked of each service
// that the flow's hash does not draw, and moreTargets what is added for the one that
// it does: the set of targets may have changed since the flow was placed.
const (
	otherTargets = 2
	moreTargets  = 1
)

// isAny takes every target: one that may get no new flow may hold old ones.
func isAny(*catalog.Member) bool {
	return true
}

// askPreferred asks the agents of the targets that the flow was probably placed on.
func (c *Core) askPreferred(now time.Duration, k segment.Key, s *search) {
	route, ok := c.snapshot.Route(k.Service())
	if !ok {
		return
	}
	n := c.Policy.Preferred + moreTargets
	for _, service := range splitOrder(route.Splits, k.Hash()) {
		for _, m := range c.preferred(k, c.snapshot.Groups[service], n, isAny) {
			c.askOnce(now, k, s, c.agentOf(m))
		}
		n = otherTargets
	}
}

// askNear asks the agents in this zone that new flows of the route may go to.
func (c *Core) askNear(now time.Duration, k segment.Key, s *search) {
	route, ok := c.snapshot.Route(k.Service())
	if !ok {
		return
	}
	for _, split := range route.Splits {
		for i := range c.snapshot.Groups[split.Service] {
			m := &c.snapshot.Groups[split.Service][i]
			if m.Zone == c.Zone {
				c.askOnce(now, k, s, c.agentOf(m))
			}
		}
	}
}

// askNew asks all agents that may hold a flow and were not asked: a target may hold flows
// of a route that now leads elsewhere, and after its entry expired.
func (c *Core) askNew(now time.Duration, k segment.Key, s *search) {
	if s.generation == c.evidence.generation {
		return
	}
	s.generation = c.evidence.generation
	c.mayHold(now, func(a netip.AddrPort) {
		c.askOnce(now, k, s, a)
	})
}

func (c *Core) askOnce(now time.Duration, k segment.Key, s *search, a netip.AddrPort) {
	if _, ok := s.asked[a]; ok {
		return
	}
	r := &s.replies[c.enlist(s, a)]
	r.at = now
	r.preferred = s.stage == stagePreferred
	if !c.lost(now, r.agent) {
		s.waiting++
	}
	c.question(now, k, s.stage, a)
}

// enlist adds an agent to a search and returns its place.
func (c *Core) enlist(s *search, a netip.AddrPort) int {
	i := len(s.replies)
	s.asked[a] = i
	s.replies = append(s.replies, reply{
		addr:  a,
		agent: c.agent(a),
	})

	return i
}
