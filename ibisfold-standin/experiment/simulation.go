package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/simclock"
)

// entries is the number of load balancer processes.
const entries = 4

const (
	// maxAttempts is how often a caller with a retry budget tries one request.
	maxAttempts = 5
	// stormAttempts and stormPause are the same for callers without a budget.
	stormAttempts = 50
	stormPause    = 10 * time.Millisecond
)

// options are the variants of a run.
type options struct {
	// noLimit passes requests up to the slots, whether the target is cold or not.
	noLimit bool
	// noBudget lets callers retry every refused request until its deadline.
	noBudget bool
	// cold starts with cold targets and limiters; otherwise both are warm.
	cold bool
	// warmAfter replaces usualWarmAfter unless it is zero.
	warmAfter int
}

// simulation runs one trace under one policy.
type simulation struct {
	simclock.Clock
	site    Site
	policy  Policy
	fault   Fault
	options options
	trace   *trace
	random  *rand.Rand
	agents  []*agent
	entries [entries]entry
	budget  admission.RetryBudget
	offers  int
	stats   *stats
	next    int
	opened  int
}

// run simulates a trace until end. The events are scheduled before the start.
func run(site Site, p Policy, f Fault, o options, t *trace, end time.Duration, seed uint64, events ...func(s *simulation)) *simulation {
	s := &simulation{
		site:    site,
		policy:  p,
		fault:   f,
		options: o,
		trace: &trace{
			flows:    append([]flow{}, t.flows...),
			arrivals: t.arrivals,
		},
		random: rand.New(rand.NewPCG(seed, 2)),
		stats:  newStats(),
	}
	for i, v := range site.Speeds {
		s.addAgent(i, v)
	}
	for _, a := range s.agents {
		for _, o := range s.agents {
			a.peers = append(a.peers, o.load())
		}
		a.snapshot()
		s.timers(a)
	}
	for _, e := range events {
		e(s)
	}
	s.nextFlow()
	s.nextArrival()
	s.RunUntil(end)

	return s
}

func (s *simulation) addAgent(i int, speed float64) {
	t := &target{
		clock: &s.Clock,
		site:  s.site,
		speed: speed,
		boot:  1,

		warmAfter: usualWarmAfter,
	}
	if s.options.warmAfter > 0 {
		t.warmAfter = s.options.warmAfter
	}
	a := &agent{
		sim:    s,
		id:     uint64(i+1) * 0x9e3779b97f4a7c15,
		index:  i,
		zone:   i % s.site.Zones,
		target: t,
		boot:   1,
		took:   time.Duration(float64(s.site.Service) / speed),
	}
	a.limiter.Slots = s.site.Slots
	a.queue.LongestWait = longestWait
	a.limiter.SetBoot(1)
	if !s.options.cold {
		t.served = t.warmAfter
		t.told = true
	}
	if s.options.noLimit || !s.options.cold {
		warm(&a.limiter, a.took, s.random)
	}
	s.agents = append(s.agents, a)
}

// warm lets a limiter learn the usual service time and grow to all slots.
func warm(l *admission.Limiter, mean time.Duration, r *rand.Rand) {
	for range 2000 {
		d := time.Duration(float64(mean) * logNormal(r))
		l.Answered(d, d)
	}
}

// timers starts the heartbeats and ticks of an agent at random phases.
func (s *simulation) timers(a *agent) {
	phase := func(d time.Duration) time.Duration {
		return time.Duration(s.random.Int64N(int64(d)))
	}
	s.Every(phase(heartbeat), heartbeat, func() { s.heartbeat(a) })
	s.Every(phase(tick), tick, a.expire)
	s.Every(phase(helloInterval), helloInterval, func() {
		a.hello()
		a.snapshot()
	})
}

func (s *simulation) heartbeat(a *agent) {
	l := a.reported()
	for _, o := range s.agents {
		d, ok := heartbeatDelay(s.fault, a.index, s.Now, s.between(a, o))
		if !ok || o == a {
			continue
		}
		s.After(d, func() {
			o.peers[a.index] = l
		})
	}
}

// between is the one-way delay between two agents.
func (s *simulation) between(a, b *agent) time.Duration {
	if a.zone == b.zone {
		return 200 * time.Microsecond
	}

	return s.site.ZoneDelay
}

// live returns the agents in service.
func (s *simulation) live() []*agent {
	live := make([]*agent, 0, len(s.agents))
	for _, a := range s.agents {
		if !a.out {
			live = append(live, a)
		}
	}

	return live
}

// nextFlow opens the flows of the trace one by one.
func (s *simulation) nextFlow() {
	if s.opened == len(s.trace.flows) {
		return
	}
	f := &s.trace.flows[s.opened]
	s.opened++
	s.At(f.open, func() {
		s.open(f)
		s.At(f.close, func() {
			s.closeFlow(f)
		})
		s.nextFlow()
	})
}

func (s *simulation) open(f *flow) {
	f.owner = s.placeFlow(f)
	f.owner.setFlows(1)
}

func (s *simulation) closeFlow(f *flow) {
	f.owner.setFlows(-1)
	f.owner = nil
}

// nextArrival sends the requests of the trace at their intended times.
func (s *simulation) nextArrival() {
	if s.next == len(s.trace.arrivals) {
		return
	}
	v := &s.trace.arrivals[s.next]
	s.next++
	s.At(v.at, func() {
		t := s.trace.flows[v.flow].tenant
		s.stats.offered(s.Now, t)
		s.budget.AddFirstAttempt(tenantName(t))
		s.send(v, 1)
		s.nextArrival()
	})
}

func (s *simulation) send(v *arrival, attempt int) {
	f := &s.trace.flows[v.flow]
	q := &request{
		arrival:  v,
		tenant:   f.tenant,
		factor:   v.factor,
		deadline: v.at + deadline,
		attempt:  attempt,
	}
	s.stats.sent(s.Now)
	if f.owner == nil {
		s.stats.refused(v.at)
		return
	}
	s.After(s.site.ClientDelay, func() {
		if f.owner == nil {
			s.stats.refused(v.at)
			return
		}
		q.received = s.Now
		s.placeRequest(f).receive(q)
	})
}

// answer delivers an answer to the caller.
func (s *simulation) answer(q *request) {
	s.After(s.site.ClientDelay+q.delay, func() {
		s.stats.answered(s.Now, q)
	})
}

// refuse tells the caller that a request has not run. The caller retries after
// the advised time, with jitter, if its budget and the deadline allow.
func (s *simulation) refuse(q *request, wait time.Duration) {
	back := s.site.ClientDelay + q.delay
	pause := wait/2 + time.Duration(s.random.Int64N(int64(wait)+int64(time.Millisecond)))
	most := maxAttempts
	if s.options.noBudget {
		pause = stormPause
		most = stormAttempts
	}
	retry := q.attempt < most && s.Now+back+pause < q.deadline
	if retry && (s.options.noBudget || s.budget.Allow(tenantName(q.tenant))) {
		s.After(back+pause, func() {
			s.send(q.arrival, q.attempt+1)
		})
		return
	}
	s.stats.refused(q.arrival.at)
}

// fail tells the caller that the outcome of a request is unknown.
func (s *simulation) fail(q *request) {
	s.stats.failed(q.arrival.at)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 2)
}
