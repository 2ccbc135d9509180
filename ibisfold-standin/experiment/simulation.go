package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/simclock"
)

// entries is the number of entries that the fabric distributes packets to.
const entries = 4

// Bounds on the attempts of a caller for one request.
const (
	// maxAttempts is the maximum number of attempts with a retry budget.
	maxAttempts = 5
	// noBudgetAttempts is the maximum number of attempts without a retry budget,
	// noBudgetPause the time between a refusal and the next of them.
	noBudgetAttempts = 50
	noBudgetPause    = 10 * time.Millisecond
)

// options are the variations of a run; the zero value is the real system.
type options struct {
	// noLimit allows as many requests as the target has slots, even while it is cold.
	noLimit bool
	// noBudget lets callers retry refused requests without a retry budget.
	noBudget bool
	// cold starts the run with cold targets and limiters; otherwise both are warm.
	cold bool
	// warmAfter replaces defaultWarmAfter unless it is zero.
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
	// offers counts the requests that agents offered to peers.
	offers int
	stats  *stats
	// scheduledArrivals and scheduledFlows count the arrivals and flows of the trace that
	// have been scheduled.
	scheduledArrivals int
	scheduledFlows    int
}

// run simulates a trace until end. It calls events before the start, to schedule what happens
// besides the trace.
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
			a.peerLoads = append(a.peerLoads, o.load())
		}
		a.snapshot()
		s.startTimers(a)
	}
	for _, e := range events {
		e(s)
	}
	s.nextFlow()
	s.nextArrival()
	s.RunUntil(end)

	return s
}

// addAgent adds agent i with a target of the given speed.
func (s *simulation) addAgent(i int, speed float64) {
	t := &target{
		clock: &s.Clock,
		site:  s.site,
		speed: speed,
		boot:  1,

		warmAfter: defaultWarmAfter,
	}
	if s.options.warmAfter > 0 {
		t.warmAfter = s.options.warmAfter
	}
	a := &agent{
		sim:             s,
		id:              uint64(i+1) * 0x9e3779b97f4a7c15,
		index:           i,
		zone:            i % s.site.Zones,
		target:          t,
		boot:            1,
		meanServiceTime: time.Duration(float64(s.site.Service) / speed),
	}
	a.limiter.Slots = s.site.Slots
	a.queue.LongestWait = maxWaitServiceTimes
	a.limiter.SetBoot(1)
	if !s.options.cold {
		t.served = t.warmAfter
		t.coldSignalled = true
	}
	if s.options.noLimit || !s.options.cold {
		warmUp(&a.limiter, a.meanServiceTime, s.random)
	}
	s.agents = append(s.agents, a)
}

// warmUp feeds a limiter enough answers to learn the mean service time and to allow all slots.
func warmUp(l *admission.Limiter, mean time.Duration, r *rand.Rand) {
	for range 2000 {
		d := time.Duration(float64(mean) * logNormal(r))
		l.Answered(d, d)
	}
}

// startTimers starts the periodic tasks of an agent at random phases.
func (s *simulation) startTimers(a *agent) {
	phase := func(d time.Duration) time.Duration {
		return time.Duration(s.random.Int64N(int64(d)))
	}
	s.Every(phase(heartbeat), heartbeat, func() { s.heartbeat(a) })
	s.Every(phase(tickInterval), tickInterval, a.expire)
	s.Every(phase(bootPollInterval), bootPollInterval, func() {
		a.readBoot()
		a.snapshot()
	})
}

// heartbeat sends the load of an agent to its peers.
func (s *simulation) heartbeat(a *agent) {
	l := a.reportedLoad()
	for _, o := range s.agents {
		d, ok := heartbeatDelay(s.fault, a.index, s.Now, s.pathDelay(a, o))
		if !ok || o == a {
			continue
		}
		s.After(d, func() {
			o.peerLoads[a.index] = l
		})
	}
}

// pathDelay returns the one-way delay between two agents.
func (s *simulation) pathDelay(a, b *agent) time.Duration {
	if a.zone == b.zone {
		return 200 * time.Microsecond
	}

	return s.site.ZoneDelay
}

// inService returns the agents in service.
func (s *simulation) inService() []*agent {
	inService := make([]*agent, 0, len(s.agents))
	for _, a := range s.agents {
		if !a.outOfService {
			inService = append(inService, a)
		}
	}

	return inService
}

// nextFlow schedules the open and the close of the next flow of the trace.
func (s *simulation) nextFlow() {
	if s.scheduledFlows == len(s.trace.flows) {
		return
	}
	f := &s.trace.flows[s.scheduledFlows]
	s.scheduledFlows++
	s.At(f.open, func() {
		s.open(f)
		s.At(f.close, func() {
			s.closeFlow(f)
		})
		s.nextFlow()
	})
}

// open places a flow at its owner.
func (s *simulation) open(f *flow) {
	f.owner = s.placeFlow(f)
	f.owner.setFlows(1)
}

// closeFlow removes a flow from its owner.
func (s *simulation) closeFlow(f *flow) {
	f.owner.setFlows(-1)
	f.owner = nil
}

// nextArrival schedules the next request of the trace at its intended time.
func (s *simulation) nextArrival() {
	if s.scheduledArrivals == len(s.trace.arrivals) {
		return
	}
	v := &s.trace.arrivals[s.scheduledArrivals]
	s.scheduledArrivals++
	s.At(v.at, func() {
		t := s.trace.flows[v.flow].tenant
		s.stats.offered(s.Now, t)
		s.budget.AddFirstAttempt(tenantName(t))
		s.send(v, 1)
		s.nextArrival()
	})
}

// send sends one attempt of a request. It is refused if the flow is closed.
func (s *simulation) send(v *arrival, attempt int) {
	f := &s.trace.flows[v.flow]
	q := &request{
		arrival:       v,
		tenant:        f.tenant,
		serviceFactor: v.serviceFactor,
		deadline:      v.at + deadline,
		attempt:       attempt,
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

// refuse tells the caller that a request has not run. The caller retries after the time wait,
// with jitter, if its retry budget, its number of attempts and the deadline allow.
func (s *simulation) refuse(q *request, wait time.Duration) {
	answerDelay := s.site.ClientDelay + q.delay
	pause := wait/2 + time.Duration(s.random.Int64N(int64(wait)+int64(time.Millisecond)))
	maxTries := maxAttempts
	if s.options.noBudget {
		pause = noBudgetPause
		maxTries = noBudgetAttempts
	}
	retry := q.attempt < maxTries && s.Now+answerDelay+pause < q.deadline
	if retry && (s.options.noBudget || s.budget.Allow(tenantName(q.tenant))) {
		s.After(answerDelay+pause, func() {
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

// newHistogram returns a histogram of times in microseconds, up to one minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 2)
}
