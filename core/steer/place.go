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
	// spreadPenalty puts a target that other entries may not know yet behind all that
	// they know.
	spreadPenalty = 100
	// slowPenalty puts a target behind all that react: it is used if there is no other.
	slowPenalty = 1000
	// unstableAge is the age from which the word that a target is unstable no longer
	// counts: an agent that gets no flows has no occasion to take it back.
	unstableAge = 2 * time.Second
	// scoreNoise keeps entries that know the same from choosing the same target.
	scoreNoise = 0.05
)

// choose returns the target for a new flow: the least busy one of the service
// that the flow's hash draws by weight, without those in tried.
func (c *Core) choose(now time.Duration, k segment.Key, r *catalog.Route, tried []netip.AddrPort) (*catalog.Member, bool) {
	if r == nil {
		return nil, false
	}
	for _, service := range splitOrder(r.Splits, k.Hash()) {
		if m := c.least(now, k, c.snapshot.Groups[service], tried); m != nil {
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

// splitOrder returns the service that the hash draws by weight, then the others
// that have a weight. All copies of a SYN draw the same.
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

// least returns the least busy of the flow's preferred targets in this zone,
// unless there is one elsewhere that is less busy by far.
func (c *Core) least(now time.Duration, k segment.Key, group []catalog.Member, tried []netip.AddrPort) *catalog.Member {
	usable := func(m *catalog.Member) bool {
		return m.Usable() && !slices.Contains(tried, c.agentOf(m))
	}
	preferred, high := c.leastOf(now, c.preferred(k, group, c.Policy.Preferred, usable))
	if preferred != nil && high <= c.Policy.IdleLoad {
		return preferred
	}
	all := []*catalog.Member{}
	for i := range group {
		if usable(&group[i]) {
			all = append(all, &group[i])
		}
	}
	best, low := c.leastOf(now, all)
	if preferred != nil && high <= low+c.Policy.Affinity {
		return preferred
	}

	return best
}

func (c *Core) leastOf(now time.Duration, list []*catalog.Member) (*catalog.Member, float64) {
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

// preferred returns the n targets of this zone that come first for a flow by
// rendezvous hashing, among those that are usable. Targets that join or leave
// change little of it.
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

// ranked is a target with its place for a flow: the higher the rank, the earlier.
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

// score estimates how busy a target is, in requests a slot.
func (c *Core) score(now time.Duration, m *catalog.Member, a *agent) float64 {
	s := (c.reported(now, a) + c.Policy.OpenedLoad*float64(a.opened)) / float64(max(1, m.Slots))
	if m.Zone != c.Zone {
		s += c.Policy.ZonePenalty
	}
	if now < m.ColdUntil {
		s += c.Policy.ColdPenalty
	}
	if now < a.spread {
		s += spreadPenalty
	}
	if a.unstable && now-a.heard < unstableAge {
		s += c.Policy.UnstablePenalty
	}
	if c.slow(now, a) {
		s += slowPenalty
	}

	return s + scoreNoise*c.Random.Float64()
}

// reported is the load of the last report, which counts less the older it is:
// an agent that gets no packets has none to report.
func (c *Core) reported(now time.Duration, a *agent) float64 {
	age := now - a.heard

	return (a.load + c.Policy.FlowLoad*float64(a.flows)) * math.Exp2(-age.Seconds()/c.Policy.ReportHalfLife.Seconds())
}
