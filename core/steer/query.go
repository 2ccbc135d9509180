package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/segment"
)

// otherServiceTargets is the number of preferred targets to query for each service that the
// flow's hash does not select. extraTargets is the number of targets to query besides
// Policy.Preferred for the service that it selects, because the set of targets may have
// changed since the flow was placed.
const (
	otherServiceTargets = 2
	extraTargets        = 1
)

// anyTarget accepts every target: one that may get no new flow may hold old ones.
func anyTarget(*catalog.Member) bool {
	return true
}

// queryPreferred queries the agents of the targets on which the flow was most likely
// placed.
func (c *Core) queryPreferred(now time.Duration, k segment.Key, s *search) {
	route, ok := c.snapshot.Route(k.Service())
	if !ok {
		return
	}
	n := c.Policy.Preferred + extraTargets
	for _, service := range splitOrder(route.Splits, k.Hash()) {
		for _, m := range c.preferred(k, c.snapshot.Groups[service], n, anyTarget) {
			c.queryOnce(now, k, s, c.agentOf(m))
		}
		n = otherServiceTargets
	}
}

// queryLocal queries the agents in this zone that new flows of the route may go to.
func (c *Core) queryLocal(now time.Duration, k segment.Key, s *search) {
	route, ok := c.snapshot.Route(k.Service())
	if !ok {
		return
	}
	for _, split := range route.Splits {
		for i := range c.snapshot.Groups[split.Service] {
			m := &c.snapshot.Groups[split.Service][i]
			if m.Zone == c.Zone {
				c.queryOnce(now, k, s, c.agentOf(m))
			}
		}
	}
}

// queryRemaining queries all agents that may hold a flow and were not queried yet. A target
// may hold flows of a route that now leads elsewhere, and may hold flows after its list
// entry has expired.
func (c *Core) queryRemaining(now time.Duration, k segment.Key, s *search) {
	if s.generation == c.listState.generation {
		return
	}
	s.generation = c.listState.generation
	c.possibleOwners(now, func(a netip.AddrPort) {
		c.queryOnce(now, k, s, a)
	})
}

func (c *Core) queryOnce(now time.Duration, k segment.Key, s *search, a netip.AddrPort) {
	if _, ok := s.queried[a]; ok {
		return
	}
	r := &s.replies[c.addReply(s, a)]
	r.sentAt = now
	r.preferred = s.stage == stagePreferred
	if c.gone(now, r.agent) == EvidenceNone {
		s.outstanding++
	}
	c.sendOrQueue(now, k, s.stage, a)
}

// addReply adds an agent to a search and returns its index in the replies.
func (c *Core) addReply(s *search, a netip.AddrPort) int {
	i := len(s.replies)
	s.queried[a] = i
	s.replies = append(s.replies, reply{
		addr:  a,
		agent: c.agent(a),
	})

	return i
}
