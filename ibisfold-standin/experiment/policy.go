package experiment

import (
	"math/bits"
	"time"
)

// reportDelay is the age of the snapshots that the compared policies use.
const reportDelay = 2 * time.Second

// Policy decides which agent owns a new flow or runs a request.
type Policy interface {
	// Name returns the label of the policy in tables and plots.
	Name() string
	isPolicy()
}

// Ibisfold is the policy of the real system: it uses the decisions of core/admission.
type Ibisfold struct{}

// HashOnly places each flow by rendezvous hashing and runs its requests at its owner.
type HashOnly struct{}

// RoundRobin lets each entry place flows at the agents in turn, or requests if PerRequest.
type RoundRobin struct{ PerRequest bool }

// LeastConnections places flows at the agent with the fewest flows, or requests at the agent
// with the fewest requests if PerRequest. It uses delayed snapshots.
type LeastConnections struct{ PerRequest bool }

// PowerOfTwo is LeastConnections among two random agents.
type PowerOfTwo struct{ PerRequest bool }

// Name implements Policy.
func (Ibisfold) Name() string { return "ibisfold" }

// Name implements Policy.
func (HashOnly) Name() string { return "hash only" }

// Name implements Policy.
func (p RoundRobin) Name() string { return "round robin" + suffix(p.PerRequest) }

// Name implements Policy.
func (p LeastConnections) Name() string { return "least connections" + suffix(p.PerRequest) }

// Name implements Policy.
func (p PowerOfTwo) Name() string { return "power of two" + suffix(p.PerRequest) }

func (Ibisfold) isPolicy()         {}
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

// Policies returns all compared policies. The first five place flows, the others
// requests.
func Policies() []Policy {
	return []Policy{
		Ibisfold{},
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

// snapshot is the state of an agent as the compared policies know it.
type snapshot struct {
	flows int
	// requests counts the running and the queued requests.
	requests int
}

// entry is one of the entries among which the fabric distributes packets at random.
type entry struct {
	// turn counts the placements of RoundRobin.
	turn int
}

// placeFlow returns the agent that owns a new flow.
func (s *simulation) placeFlow(f *flow) *agent {
	inService := s.inService()
	switch p := s.policy.(type) {
	case Ibisfold:
		return s.highestHash(f, inService).pickOwner(2)
	case RoundRobin:
		return inService[s.entry().next(len(inService))]
	case LeastConnections:
		return s.leastLoaded(inService, func(o snapshot) int { return o.flows })
	case PowerOfTwo:
		return s.leastLoaded(s.twoRandom(inService), func(o snapshot) int { return o.flows })
	case HashOnly:
		return s.highestHash(f, inService)
	default:
		panic(p)
	}
}

// placeRequest returns the agent that gets a request of a flow first.
func (s *simulation) placeRequest(f *flow) *agent {
	inService := s.inService()
	requests := func(o snapshot) int { return o.requests }
	switch p := s.policy.(type) {
	case RoundRobin:
		if p.PerRequest {
			return inService[s.entry().next(len(inService))]
		}
	case LeastConnections:
		if p.PerRequest {
			return s.leastLoaded(inService, requests)
		}
	case PowerOfTwo:
		if p.PerRequest {
			return s.leastLoaded(s.twoRandom(inService), requests)
		}
	case Ibisfold, HashOnly:
	}

	return f.owner
}

// highestHash returns the agent with the highest rendezvous hash for a flow.
func (s *simulation) highestHash(f *flow, agents []*agent) *agent {
	best := agents[0]
	for _, a := range agents[1:] {
		if mix(f.hash, a.id) > mix(f.hash, best.id) {
			best = a
		}
	}

	return best
}

// leastLoaded returns the agent with the lowest value in its delayed snapshot. Ties are broken
// at random.
func (s *simulation) leastLoaded(agents []*agent, value func(snapshot) int) *agent {
	best, ties := agents[0], 1
	for _, a := range agents[1:] {
		x, y := value(a.delayedSnapshot()), value(best.delayedSnapshot())
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

// twoRandom returns two different random agents of the given ones.
func (s *simulation) twoRandom(agents []*agent) []*agent {
	i := s.random.IntN(len(agents))
	j := s.random.IntN(len(agents) - 1)
	if j >= i {
		j++
	}

	return []*agent{agents[i], agents[j]}
}

// entry returns the entry that the fabric chooses for a packet.
func (s *simulation) entry() *entry {
	return &s.entries[s.random.IntN(len(s.entries))]
}

// next returns the next index below n in turn.
func (e *entry) next(n int) int {
	e.turn++

	return e.turn % n
}

// mix returns a hash of a and b.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)

	return hi ^ lo
}
