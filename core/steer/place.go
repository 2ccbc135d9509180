package steer

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/segment"
)

const (
	// spreadPenalty, in requests per slot, ranks a target that other entries may not know
	// yet behind all targets that they know.
	spreadPenalty = 100
	// avoidedPenalty, in requests per slot, ranks a target that new flows should avoid
	// behind all others, so that it is used only if there is no other.
	avoidedPenalty = 1000
	// maxUnstableAge bounds the age of a report that a target is unstable. An agent that
	// gets no flows has no occasion to correct it.
	maxUnstableAge = 2 * time.Second
	// scoreNoise bounds the random part of a score, in requests per slot, which keeps
	// entries with the same information from all choosing the same target.
	scoreNoise = 0.05
)

// choose returns the target for a new flow: the least busy one of the service that the
// flow's hash selects by weight, leaving out those in tried.
func (c *Core) choose(now time.Duration, k segment.Key, r *catalog.Route, tried []netip.AddrPort) (*catalog.Member, bool) {
	if r == nil {
		return nil, false
	}
	for _, service := range splitOrder(r.Splits, k.Hash()) {
		if m := c.leastBusy(now, k, c.snapshot.Groups[service], tried); m != nil {
			return m, true
		}
	}

	return nil, false
}

func (c *Core) routeOf(k segment.Key) *catalog.Route {
	r, ok := c.snapshot.Route(k.Service())
	if !ok {
		return nil
	}

	return &r
}

// splitOrder returns the service that the hash selects by weight, followed by the others
// that have a weight. All copies of a SYN select the same one.
func splitOrder(splits []catalog.Split, hash uint64) []uint64 {
	total := 0
	for _, s := range splits {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return nil
	}

	x := int(hash % uint64(total))
	order := []uint64{}
	for _, s := range splits {
		if s.Weight <= 0 {
			continue
		}
		if x >= 0 && x < s.Weight {
			order = slices.Insert(order, 0, s.Service)
		} else {
			order = append(order, s.Service)
		}
		x -= s.Weight
	}

	return order
}

// leastBusy returns the least busy of the flow's preferred targets in this zone, unless a
// target of any zone is less busy by more than Policy.Affinity.
func (c *Core) leastBusy(now time.Duration, k segment.Key, group []catalog.Member, tried []netip.AddrPort) *catalog.Member {
	usable := func(m *catalog.Member) bool {
		return m.Usable() && !slices.Contains(tried, c.agentOf(m))
	}
	preferred, preferredScore := c.lowestScore(now, c.preferred(k, group, c.Policy.Preferred, usable))
	if preferred != nil && preferredScore <= c.Policy.IdleLoad {
		return preferred
	}
	all := []*catalog.Member{}
	for i := range group {
		if usable(&group[i]) {
			all = append(all, &group[i])
		}
	}
	best, bestScore := c.lowestScore(now, all)
	if preferred != nil && preferredScore <= bestScore+c.Policy.Affinity {
		return preferred
	}

	return best
}

func (c *Core) lowestScore(now time.Duration, list []*catalog.Member) (*catalog.Member, float64) {
	best := (*catalog.Member)(nil)
	low := 0.0
	for _, m := range list {
		if s := c.score(now, m, c.agent(c.agentOf(m))); best == nil || s < low {
			best = m
			low = s
		}
	}

	return best, low
}

// preferred returns the n usable targets of this zone that rank first for a flow by
// rendezvous hashing. Targets that join or leave change the result for few flows.
func (c *Core) preferred(k segment.Key, group []catalog.Member, n int, usable func(*catalog.Member) bool) []*catalog.Member {
	flow := k.Hash()
	first := make([]ranked, 0, n+1)
	for i := range group {
		m := &group[i]
		if m.Zone != c.Zone {
			continue
		}
		r := rendezvous(flow, m)
		if len(first) == n && r <= first[n-1].rank || !usable(m) {
			continue
		}
		first = insertRanked(first, ranked{
			member: m,
			rank:   r,
		})
		first = first[:min(n, len(first))]
	}

	list := make([]*catalog.Member, 0, n)
	for _, x := range first {
		list = append(list, x.member)
	}

	return list
}

// ranked is a target with its rank for a flow; the highest rank comes first.
type ranked struct {
	member *catalog.Member
	rank   uint64
}

func insertRanked(list []ranked, x ranked) []ranked {
	i := 0
	for i < len(list) && list[i].rank >= x.rank {
		i++
	}

	return slices.Insert(list, i, x)
}

func rendezvous(flow uint64, m *catalog.Member) uint64 {
	ip := m.Address.Addr().As4()

	return segment.Mix(flow + segment.Mix(uint64(binary.BigEndian.Uint32(ip[:]))))
}

// score estimates how busy a target is, in requests per slot.
func (c *Core) score(now time.Duration, m *catalog.Member, a *agent) float64 {
	s := (c.reportedLoad(now, a) + c.Policy.OpenedLoad*float64(a.opened)) / float64(max(1, m.Slots))
	if m.Zone != c.Zone {
		s += c.Policy.ZonePenalty
	}
	if now < m.ColdUntil {
		s += c.Policy.ColdPenalty
	}
	if now < a.spreadUntil {
		s += spreadPenalty
	}
	if a.unstable && now-a.heard < maxUnstableAge {
		s += c.Policy.UnstablePenalty
	}
	if c.avoided(now, a) {
		s += avoidedPenalty
	}

	return s + scoreNoise*c.Random.Float64()
}

// reportedLoad is the load of the agent's last report, in requests. Its weight decays with
// its age, because an agent that gets no packets sends no reports.
func (c *Core) reportedLoad(now time.Duration, a *agent) float64 {
	age := now - a.heard

	return (a.load + c.Policy.FlowLoad*float64(a.flows)) * math.Exp2(-age.Seconds()/c.Policy.ReportHalfLife.Seconds())
}
