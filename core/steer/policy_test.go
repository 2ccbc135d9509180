package steer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
	"ibisfold.example/core/simclock"
)

// policy chooses the target of a new flow among usable ones.
type policy func(c *Core, now time.Duration, k segment.Key) *catalog.Member

// policies holds the package's own policy and the simpler ones that it must not be worse
// than.
var policies = map[string]policy{
	"preferred targets": func(c *Core, now time.Duration, k segment.Key) *catalog.Member {
		m, _ := c.choose(now, k, c.routeOf(k), nil)

		return m
	},
	"hash alone": func(c *Core, _ time.Duration, k segment.Key) *catalog.Member {
		group := c.snapshot.Groups[c.routeOf(k).Splits[0].Service]
		best := &group[0]
		for i := range group {
			if rendezvous(k.Hash(), &group[i]) > rendezvous(k.Hash(), best) {
				best = &group[i]
			}
		}

		return best
	},
	"power of two choices": func(c *Core, now time.Duration, _ segment.Key) *catalog.Member {
		group := c.snapshot.Groups[c.routeOf(testKey).Splits[0].Service]
		a, b := &group[c.Random.IntN(len(group))], &group[c.Random.IntN(len(group))]
		if c.score(now, b, c.agent(c.agentOf(b))) < c.score(now, a, c.agent(c.agentOf(a))) {
			return b
		}

		return a
	},
}

// loadPattern is a load under which the policies are compared.
type loadPattern struct {
	name string
	// targets is the number of targets, in three zones in turn. flows is the number of
	// long-lived flows, rate the mean rate of each in requests per second.
	targets int
	flows   int
	rate    float64
	// together means that all flows are opened within 100 ms, otherwise within 10 s.
	together bool
	// slow is the factor by which the first target is slower than the others; zero for
	// none.
	slow float64
	// heavy means that one flow in ten has five times the request rate.
	heavy bool
}

// Parameters of the simulation.
const (
	// policySlots is the number of requests that a target works on at once.
	policySlots = 2
	// policyWork is the mean time that a target works on a request, the same as at the
	// sites.
	policyWork    = 15 * time.Millisecond
	policyTime    = 20 * time.Second
	policyEntries = 6
	// policyRemoteDelay is added to the answers of targets in another zone.
	policyRemoteDelay = 10 * time.Millisecond
)

var loadPatterns = []loadPattern{
	{
		name:     "all callers come back at once",
		targets:  12,
		flows:    600,
		rate:     1,
		together: true,
	},
	{
		name:    "steady load of 70%",
		targets: 12,
		flows:   1120,
		rate:    1,
	},
	{
		name:    "flows of unequal weight",
		targets: 12,
		flows:   700,
		rate:    1,
		heavy:   true,
	},
	{
		name:    "one target turns slow",
		targets: 12,
		flows:   800,
		rate:    1,
		slow:    6,
	},
}

// policyFlow is a flow of the simulation.
type policyFlow struct {
	entry  int
	target int
	rate   float64
}

// policyTarget is a target with its queue.
type policyTarget struct {
	free  [policySlots]time.Duration
	ends  []time.Duration
	flows int
}

// take runs a request and returns when its answer is ready.
func (t *policyTarget) take(now, work time.Duration) time.Duration {
	slot := 0
	for i := range t.free {
		if t.free[i] < t.free[slot] {
			slot = i
		}
	}
	t.free[slot] = max(t.free[slot], now) + work
	t.ends = append(t.ends, t.free[slot])

	return t.free[slot]
}

// progress returns the number of requests in progress.
func (t *policyTarget) progress(now time.Duration) int {
	t.ends = slices.DeleteFunc(t.ends, func(end time.Duration) bool {
		return end <= now
	})

	return len(t.ends)
}

// simulate returns the response times of all requests, sorted.
func simulate(p policy, l *loadPattern, seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	targets := make([]policyTarget, l.targets)
	entries := []*Core{}
	for i := range policyEntries {
		c := newTestCore(l.targets)
		c.Zone = string("abc"[i%3])
		c.Random = random
		entries = append(entries, c)
	}
	clock := simclock.Clock{}
	times := []time.Duration{}
	var request func(f *policyFlow)
	request = func(f *policyFlow) {
		c := entries[f.entry]
		if f.target < 0 {
			k := testKey
			k.CallerPort = uint16(random.IntN(math.MaxUint16))
			m := p(c, clock.Now, k)
			c.agent(c.agentOf(m)).opened++
			f.target = slices.Index(c.listedOrder, c.agentOf(m))
			targets[f.target].flows++
		}
		t := &targets[f.target]
		work := time.Duration((0.5 + random.Float64()) * float64(policyWork))
		if l.slow > 0 && f.target == 0 {
			work = time.Duration(l.slow * float64(work))
		}
		took := t.take(clock.Now, work) - clock.Now
		if c.listed[c.listedOrder[f.target]].Zone != c.Zone {
			took += policyRemoteDelay
		}
		times = append(times, took)
		c.recordHeard(clock.Now, c.listedOrder[f.target], &relay.Message{
			Kind:  relay.Owned,
			Load:  uint16(100 * t.progress(clock.Now)),
			Flows: uint16(t.flows),
		})
		pause := time.Duration(random.ExpFloat64() / f.rate * float64(time.Second))
		clock.After(max(took, pause), func() {
			request(f)
		})
	}
	opening := 10 * time.Second
	if l.together {
		opening = 100 * time.Millisecond
	}
	for i := range l.flows {
		f := &policyFlow{
			entry:  random.IntN(policyEntries),
			target: -1,
			rate:   l.rate,
		}
		if l.heavy && i%10 == 0 {
			f.rate *= 5
		}
		clock.At(time.Duration(random.Int64N(int64(opening))), func() {
			request(f)
		})
	}
	clock.Run(policyTime)
	slices.SortFunc(times, cmp.Compare[time.Duration])

	return times
}

// Guards against a placement whose response times are worse than those of hashing alone or
// the power of two choices, under each load pattern. The results of each policy are logged.
func TestPlacementAgainstSimplePolicies(t *testing.T) {
	const seeds = 5
	for i := range loadPatterns {
		l := &loadPatterns[i]
		t.Run(l.name, func(t *testing.T) {
			p99 := map[string]time.Duration{}
			for name, p := range policies {
				mean := time.Duration(0)
				for seed := range uint64(seeds) {
					times := simulate(p, l, seed)
					p99[name] += times[len(times)*99/100] / seeds
					sum := time.Duration(0)
					for _, x := range times {
						sum += x
					}
					mean += sum / time.Duration(len(times)) / seeds
				}
				t.Logf("%-22s mean %6.1f ms, p99 %6.1f ms", name, mean.Seconds()*1000, p99[name].Seconds()*1000)
			}
			ours := p99["preferred targets"]
			for name, other := range p99 {
				if ours > other {
					t.Errorf("p99 of %v is above the %v of %s", ours, other, name)
				}
			}
		})
	}
}
