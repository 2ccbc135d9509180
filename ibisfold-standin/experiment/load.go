package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// flowLife is the mean life of a flow.
	flowLife = 60 * time.Second
	// weightShape is the Pareto shape of the flows' weights; below 2 the variance is infinite.
	weightShape = 1.5
	// weightMax bounds a flow's weight, in units of the smallest weight.
	weightMax = 50.0
	// burstFactor is the arrival rate in a burst relative to the mean.
	burstFactor = 2.0
	// serviceSpread is the standard deviation of the logarithm of service times.
	serviceSpread = 0.5
	// deadline is how long a caller waits for an answer.
	deadline = 2 * time.Second
)

// Phase is a part of a run with a constant load.
type Phase struct {
	Until time.Duration
	// Load is the offered load relative to the capacity of all warm targets.
	Load float64
}

// Workload describes what callers do; the same seed gives the same arrivals.
type Workload struct {
	Phases []Phase
	// Bursts doubles the arrival rate for 1 s in every 10 s, at the same mean.
	Bursts bool
	// Tenants is the number of tenants with equal shares of the load.
	Tenants int
	// Heavy is the factor by which tenant 0 exceeds its share; zero means 1.
	Heavy float64
}

// flow is one caller's connection.
type flow struct {
	hash   uint64
	tenant int
	weight float64
	open   time.Duration
	close  time.Duration

	owner *agent
}

// arrival is one request as the caller intends it.
type arrival struct {
	at   time.Duration
	flow int
	// factor is the service time relative to the target's mean.
	factor float64
}

// trace is the input of a run; all policies get the same one.
type trace struct {
	flows    []flow
	arrivals []arrival
}

// end is the end of the last phase.
func (w Workload) end() time.Duration {
	return w.Phases[len(w.Phases)-1].Until
}

// generate draws the flows and arrivals of a workload.
func (w Workload) generate(s Site, seed uint64) *trace {
	r := rand.New(rand.NewPCG(seed, 1))
	t := &trace{}
	w.generateFlows(t, s, r)

	// Tenant 0's surplus comes on top of the load that all tenants share equally.
	heavy := max(1, w.Heavy)
	extra := (heavy - 1) / float64(max(1, w.Tenants))
	open := newOpenFlows(t.flows, max(1, w.Tenants))
	for _, p := range w.Phases {
		rate := p.Load * s.capacity()
		if w.Bursts {
			rate *= burstFactor
		}
		for at := start(w, p); ; {
			at += exponential(r, 1/(rate*(1+extra)))
			if at >= p.Until {
				break
			}
			if w.Bursts && !burstKeeps(at, r) {
				continue
			}
			n := 0
			if x := r.Float64() * (1 + extra); x >= extra {
				n = int((x - extra) * float64(max(1, w.Tenants)))
			}
			f := open.pick(at, n, r)
			if f < 0 {
				continue
			}
			t.arrivals = append(t.arrivals, arrival{
				at:     at,
				flow:   f,
				factor: logNormal(r),
			})
		}
	}

	return t
}

func start(w Workload, p Phase) time.Duration {
	s := time.Duration(0)
	for _, o := range w.Phases {
		if o.Until < p.Until {
			s = o.Until
		}
	}

	return s
}

func (w Workload) generateFlows(t *trace, s Site, r *rand.Rand) {
	add := func(at time.Duration) {
		u := 1 - r.Float64()
		t.flows = append(t.flows, flow{
			hash:   r.Uint64(),
			tenant: r.IntN(max(1, w.Tenants)),
			weight: min(weightMax, math.Pow(u, -1/weightShape)),
			open:   at,
			close:  at + exponential(r, flowLife.Seconds()),
		})
	}
	for range s.Flows {
		add(0)
	}
	gap := flowLife.Seconds() / float64(s.Flows)
	for at := exponential(r, gap); at < w.end(); at += exponential(r, gap) {
		add(at)
	}
}

// burstKeeps thins arrivals that were drawn at burstFactor times the mean rate:
// all stay for 1 s in every 10 s, and so many of the others that the mean is kept.
func burstKeeps(at time.Duration, r *rand.Rand) bool {
	if at%(10*time.Second) < time.Second {
		return true
	}

	return r.Float64() < (10-burstFactor)/9/burstFactor
}

// logNormal returns a service time relative to its mean.
func logNormal(r *rand.Rand) float64 {
	return math.Exp(serviceSpread*r.NormFloat64() - serviceSpread*serviceSpread/2)
}

func exponential(r *rand.Rand, mean float64) time.Duration {
	return time.Duration(r.ExpFloat64() * mean * float64(time.Second))
}

// openFlows finds the open flows of each tenant while time advances.
type openFlows struct {
	flows  []flow
	next   int
	tenant [][]int
}

func newOpenFlows(flows []flow, tenants int) *openFlows {
	return &openFlows{
		flows:  flows,
		tenant: make([][]int, tenants),
	}
}

// pick returns an open flow of a tenant in proportion to its weight, or -1.
func (o *openFlows) pick(at time.Duration, tenant int, r *rand.Rand) int {
	for o.next < len(o.flows) && o.flows[o.next].open <= at {
		n := o.flows[o.next].tenant
		o.tenant[n] = append(o.tenant[n], o.next)
		o.next++
	}
	for len(o.tenant[tenant]) > 0 {
		list := o.tenant[tenant]
		i := r.IntN(len(list))
		f := list[i]
		if o.flows[f].close <= at {
			list[i] = list[len(list)-1]
			o.tenant[tenant] = list[:len(list)-1]
			continue
		}
		if r.Float64()*weightMax < o.flows[f].weight {
			return f
		}
	}

	return -1
}
