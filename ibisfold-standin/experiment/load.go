package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// meanFlowLife is the mean time for which a flow is open.
	meanFlowLife = 60 * time.Second
	// weightShape is the shape of the Pareto distribution of flow weights. Below 2, the variance
	// is infinite.
	weightShape = 1.5
	// maxWeight bounds the weight of a flow; the smallest weight is 1.
	maxWeight = 50.0
	// burstFactor is the arrival rate in a burst relative to the mean.
	burstFactor = 2.0
	// serviceTimeSigma is the standard deviation of the logarithm of service times.
	serviceTimeSigma = 0.5
	// deadline is how long a caller waits for an answer.
	deadline = 2 * time.Second
)

// Phase is a part of a workload with a constant load. It starts when the one before ends.
type Phase struct {
	Until time.Duration
	// Load is the offered load relative to the capacity of all warm targets.
	Load float64
}

// Workload describes what callers send. The same seed gives the same arrivals.
type Workload struct {
	Phases []Phase
	// Bursts doubles the arrival rate for 1 s in every 10 s and lowers it otherwise, so
	// that the mean stays the same.
	Bursts bool
	// Tenants is the number of tenants with equal shares of the load.
	Tenants int
	// Heavy is the factor by which tenant 0 exceeds its share of the load; zero means 1.
	Heavy float64
}

// flow is a caller's connection.
type flow struct {
	hash   uint64
	tenant int
	// weight is proportional to the rate of requests on the flow.
	weight float64
	// open and close are when the flow opens and closes.
	open  time.Duration
	close time.Duration

	// owner is the agent that holds the flow; nil while the flow is not open.
	owner *agent
}

// arrival is a request at the time at which the caller means to send it.
type arrival struct {
	at time.Duration
	// flow is the index of the flow in the trace.
	flow int
	// serviceFactor is the service time relative to the mean of the target.
	serviceFactor float64
}

// trace is the input of a run. All compared policies get the same trace.
type trace struct {
	flows    []flow
	arrivals []arrival
}

// end returns the end of the last phase.
func (w Workload) end() time.Duration {
	return w.Phases[len(w.Phases)-1].Until
}

// generate draws the flows and arrivals of a workload.
func (w Workload) generate(s Site, seed uint64) *trace {
	r := rand.New(rand.NewPCG(seed, 1))
	t := &trace{}
	w.generateFlows(t, s, r)

	// The excess of tenant 0 is added to the load that all tenants share equally.
	heavy := max(1, w.Heavy)
	extra := (heavy - 1) / float64(max(1, w.Tenants))
	open := newOpenFlows(t.flows, max(1, w.Tenants))
	for _, p := range w.Phases {
		rate := p.Load * s.capacity()
		if w.Bursts {
			rate *= burstFactor
		}
		for at := phaseStart(w, p); ; {
			at += exponential(r, 1/(rate*(1+extra)))
			if at >= p.Until {
				break
			}
			if w.Bursts && !keepArrival(at, r) {
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
				at:            at,
				flow:          f,
				serviceFactor: logNormal(r),
			})
		}
	}

	return t
}

// phaseStart returns the start of phase p.
func phaseStart(w Workload, p Phase) time.Duration {
	s := time.Duration(0)
	for _, o := range w.Phases {
		if o.Until < p.Until {
			s = o.Until
		}
	}

	return s
}

// generateFlows draws flows so that the mean number of open flows is that of the site.
func (w Workload) generateFlows(t *trace, s Site, r *rand.Rand) {
	add := func(at time.Duration) {
		u := 1 - r.Float64()
		t.flows = append(t.flows, flow{
			hash:   r.Uint64(),
			tenant: r.IntN(max(1, w.Tenants)),
			weight: min(maxWeight, math.Pow(u, -1/weightShape)),
			open:   at,
			close:  at + exponential(r, meanFlowLife.Seconds()),
		})
	}
	for range s.Flows {
		add(0)
	}
	gap := meanFlowLife.Seconds() / float64(s.Flows)
	for at := exponential(r, gap); at < w.end(); at += exponential(r, gap) {
		add(at)
	}
}

// keepArrival reports whether to keep an arrival that was drawn at burstFactor times the mean
// rate. It keeps all arrivals for 1 s in every 10 s, and of the others a random share that
// preserves the mean rate.
func keepArrival(at time.Duration, r *rand.Rand) bool {
	if at%(10*time.Second) < time.Second {
		return true
	}

	return r.Float64() < (10-burstFactor)/9/burstFactor
}

// logNormal draws a service time relative to its mean.
func logNormal(r *rand.Rand) float64 {
	return math.Exp(serviceTimeSigma*r.NormFloat64() - serviceTimeSigma*serviceTimeSigma/2)
}

// exponential draws a time from the exponential distribution with a mean in seconds.
func exponential(r *rand.Rand, mean float64) time.Duration {
	return time.Duration(r.ExpFloat64() * mean * float64(time.Second))
}

// openFlows selects from the open flows of each tenant while time advances.
type openFlows struct {
	flows []flow
	// next is the index of the first flow that has not opened yet.
	next int
	// tenant holds the indices of the open flows of each tenant. Closed flows are removed
	// when pick finds them.
	tenant [][]int
}

func newOpenFlows(flows []flow, tenants int) *openFlows {
	return &openFlows{
		flows:  flows,
		tenant: make([][]int, tenants),
	}
}

// pick returns the index of a random open flow of a tenant, with a probability proportional
// to its weight, or -1 if the tenant has none.
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
		if r.Float64()*maxWeight < o.flows[f].weight {
			return f
		}
	}

	return -1
}
