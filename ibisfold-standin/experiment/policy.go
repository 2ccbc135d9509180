package experiment

import (
	"math/bits"
	"time"
)

// reportDelay is the age of the reports that the compared policies use.
const reportDelay = 2 * time.Second

// Policy decides which agent owns a new flow or runs a request.
type Policy interface {
	// Name labels the policy in tables and plots.
	Name() string
	isPolicy()
}

// Ours uses the decisions of core/admission.
type Ours struct{}

// HashOnly places each flow by rendezvous hashing and runs its requests there.
type HashOnly struct{}

// RoundRobin places flows in turn at each entry, or requests if PerRequest.
type RoundRobin struct{ PerRequest bool }

// LeastConnections places flows at the agent with the fewest flows by late
// reports, or requests at the one with the fewest requests if PerRequest.
type LeastConnections struct{ PerRequest bool }

// PowerOfTwo compares the late reports of two random agents.
type PowerOfTwo struct{ PerRequest bool }

// Name implements Policy.
func (Ours) Name() string { return "ibisfold" }

// Name implements Policy.
func (HashOnly) Name() string { return "hash only" }

// Name implements Policy.
func (p RoundRobin) Name() string { return "round robin" + suffix(p.PerRequest) }

// Name implements Policy.
func (p LeastConnections) Name() string { return "least connections" + suffix(p.PerRequest) }

// Name implements Policy.
func (p PowerOfTwo) Name() string { return "power of two" + suffix(p.PerRequest) }

func (Ours) isPolicy()             {}
func (HashOnly) isPolicy()         {}
func (RoundRobin) isPolicy()       {}
func (LeastConnections) isPolicy() {}
func (PowerOfTwo) isPolicy()       {}

func suffix(perRequest bool) string {
	if perRequest {
		return " per request"
	}

	return ""
}

// Policies returns all policies that are compared.
func Policies() []Policy {
	return []Policy{
		Ours{},
		HashOnly{},
		RoundRobin{},
		LeastConnections{},
		PowerOfTwo{},
		RoundRobin{
			PerRequest: true,
		},
		LeastConnections{
			PerRequest: true,
		},
		PowerOfTwo{
			PerRequest: true,
		},
	}
}

// snapshot is what the compared policies know of an agent.
type snapshot struct {
	flows    int
	requests int
}

// entry is one load balancer process; the fabric sprays packets over several.
type entry struct {
	turn int
}

// placeFlow returns the agent that owns a new flow.
func (s *simulation) placeFlow(f *flow) *agent {
	live := s.live()
	switch p := s.policy.(type) {
	case Ours:
		return s.hashed(f, live).ownerOf(2)
	case RoundRobin:
		return live[s.entry().next(len(live))]
	case LeastConnections:
		return s.least(live, func(o snapshot) int { return o.flows })
	case PowerOfTwo:
		return s.least(s.two(live), func(o snapshot) int { return o.flows })
	case HashOnly:
		return s.hashed(f, live)
	default:
		panic(p)
	}
}

// placeRequest returns the agent that gets a request of a flow first.
func (s *simulation) placeRequest(f *flow) *agent {
	live := s.live()
	requests := func(o snapshot) int { return o.requests }
	switch p := s.policy.(type) {
	case RoundRobin:
		if p.PerRequest {
			return live[s.entry().next(len(live))]
		}
	case LeastConnections:
		if p.PerRequest {
			return s.least(live, requests)
		}
	case PowerOfTwo:
		if p.PerRequest {
			return s.least(s.two(live), requests)
		}
	case Ours, HashOnly:
	}

	return f.owner
}

// hashed returns the agent with the highest rendezvous hash.
func (s *simulation) hashed(f *flow, live []*agent) *agent {
	best := live[0]
	for _, a := range live[1:] {
		if mix(f.hash, a.id) > mix(f.hash, best.id) {
			best = a
		}
	}

	return best
}

// least returns the agent with the lowest late value; ties are broken at random.
func (s *simulation) least(live []*agent, value func(snapshot) int) *agent {
	best, ties := live[0], 1
	for _, a := range live[1:] {
		x, y := value(a.late()), value(best.late())
		switch {
		case x < y:
			best, ties = a, 1
		case x == y:
			ties++
			if s.random.IntN(ties) == 0 {
				best = a
			}
		}
	}

	return best
}

func (s *simulation) two(live []*agent) []*agent {
	i := s.random.IntN(len(live))
	j := s.random.IntN(len(live) - 1)
	if j >= i {
		j++
	}

	return []*agent{live[i], live[j]}
}

// entry returns the entry that the fabric chose for a packet.
func (s *simulation) entry() *entry {
	return &s.entries[s.random.IntN(len(s.entries))]
}

func (e *entry) next(n int) int {
	e.turn++

	return e.turn % n
}

func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)

	return hi ^ lo
}
