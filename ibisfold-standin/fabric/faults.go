package fabric

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Rule is a fault on the path between two endpoints. An endpoint is the name of a zone, the
// advertised address of a process, or empty for all processes. If several rules match a packet,
// their delays add up and each may lose it.
type Rule struct {
	From string
	To   string
	// OneWay limits the rule to packets from From to To.
	OneWay bool
	// Loss is the probability that a packet is lost, from 0 to 1. 1 is a partition.
	Loss float64
	// Delay and a random time below Jitter are added to the delay of each packet.
	Delay  time.Duration
	Jitter time.Duration
}

// matches reports whether the rule applies to packets between two nodes.
func (r *Rule) matches(from, to Node) bool {
	if matchesNode(r.From, from) && matchesNode(r.To, to) {
		return true
	}

	return !r.OneWay && matchesNode(r.From, to) && matchesNode(r.To, from)
}

func matchesNode(endpoint string, n Node) bool {
	return endpoint == "" || endpoint == n.Zone || endpoint == addrString(n.Advertise)
}

func addrString(a netip.AddrPort) string {
	if !a.IsValid() {
		return "unknown"
	}

	return a.String()
}

// Path decides the delay and the loss of each packet. Equal seeds and equal sequences of packets
// give equal decisions.
type Path struct {
	// ZoneDelay is the one-way delay between zones, and Jitter bounds the random time added to it.
	ZoneDelay time.Duration
	Jitter    time.Duration

	mu    sync.Mutex
	rand  *rand.Rand
	rules []Rule
}

// NewPath returns a path without faults, whose random numbers depend on seed alone.
func NewPath(zoneDelay, jitter time.Duration, seed uint64) *Path {
	return &Path{
		ZoneDelay: zoneDelay,
		Jitter:    jitter,
		rand:      rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetRules replaces all rules.
func (p *Path) SetRules(r []Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.rules = r
}

// Next returns the delay of the next packet and whether it is lost.
func (p *Path) Next(from, to Node) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	d := time.Duration(0)
	if from.Zone != to.Zone {
		d = p.ZoneDelay + p.randomUpTo(p.Jitter)
	}
	lost := false
	for i := range p.rules {
		r := &p.rules[i]
		if !r.matches(from, to) {
			continue
		}
		d += r.Delay + p.randomUpTo(r.Jitter)
		if r.Loss > 0 && p.rand.Float64() < r.Loss {
			lost = true
		}
	}

	return d, lost
}

// Blocked reports whether a rule drops all packets from one node to the other.
func (p *Path) Blocked(from, to Node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	for i := range p.rules {
		if p.rules[i].Loss >= 1 && p.rules[i].matches(from, to) {
			return true
		}
	}

	return false
}

// randomUpTo returns a random duration below d, or zero if d is not positive.
func (p *Path) randomUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}

	return time.Duration(p.rand.Int64N(int64(d)))
}
