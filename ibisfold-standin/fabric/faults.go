package fabric

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Rule is a fault on the way between two ends. An end is the name of a zone,
// the address of a process, or empty for all. Rules that match add up.
type Rule struct {
	From string
	To   string
	// OneWay limits the rule to packets from From to To.
	OneWay bool
	// Loss is the share of packets that are lost, from 0 to 1; 1 is a partition.
	Loss float64
	// Delay is added to each packet, and a random time up to Jitter.
	Delay  time.Duration
	Jitter time.Duration
}

func (r *Rule) matches(from, to Node) bool {
	if matchesNode(r.From, from) && matchesNode(r.To, to) {
		return true
	}

	return !r.OneWay && matchesNode(r.From, to) && matchesNode(r.To, from)
}

func matchesNode(end string, n Node) bool {
	return end == "" || end == n.Zone || end == addrString(n.Advertise)
}

func addrString(a netip.AddrPort) string {
	if !a.IsValid() {
		return "unknown"
	}

	return a.String()
}

// Path decides what happens to each packet. Equal seeds and equal orders of
// packets give equal decisions.
type Path struct {
	// Between is the one-way delay between zones, Jitter the random time added to it.
	ZoneDelay time.Duration
	Jitter    time.Duration

	mu    sync.Mutex
	rand  *rand.Rand
	rules []Rule
}

// NewPath builds a path with a seeded source of chance.
func NewPath(zoneDelay, jitter time.Duration, seed uint64) *Path {
	return &Path{
		ZoneDelay: zoneDelay,
		Jitter:    jitter,
		rand:      rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetRules replaces all faults.
func (p *Path) SetRules(r []Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.rules = r
}

// Next returns the delay of the next packet, and whether it is lost.
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

// Blocked reports whether a rule loses all packets from one end to the other.
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

func (p *Path) randomUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}

	return time.Duration(p.rand.Int64N(int64(d)))
}
