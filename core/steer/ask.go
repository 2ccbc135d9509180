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

// askAll asks all agents that are listed or were heard lately: a target may
// hold flows of a route that now leads elsewhere, and after its entry expired.
func (c *Core) askAll(now time.Duration, k segment.Key, s *search) {
	for _, a := range c.listing {
		c.askOnce(now, k, s, a)
	}
	for _, a := range c.order {
		x := c.agents[a]
		if x.known && now-x.heard < c.MaxFlowAge && !x.silent {
			c.askOnce(now, k, s, a)
		}
	}
}

func (c *Core) askOnce(now time.Duration, k segment.Key, s *search, a netip.AddrPort) {
	if _, ok := s.asked[a]; ok {
		return
	}
	s.asked[a] = answerNone
	s.order = append(s.order, a)
	if !c.lost(now, c.agent(a)) {
		s.waiting++
	}
	c.question(now, k, s.stage, a)
}

// askAgain repeats the question to the agents that did not answer.
func (c *Core) askAgain(k segment.Key, s *search, open []netip.AddrPort) {
	s.stage = min(s.stage, stageAll)
	s.probing = false
	s.waiting = len(open)
	s.rounds++
	for _, a := range open {
		s.asked[a] = answerNone
		c.questions.add(a, k)
	}
}
