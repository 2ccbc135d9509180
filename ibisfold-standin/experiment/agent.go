package experiment

import (
	"fmt"
	"slices"
	"time"

	"ibisfold.example/core/admission"
)

const (
	// longestWait is the bound of waiting, in service times; see
	// docs/decisions/0012-longest-wait.md.
	longestWait   = 5
	heartbeat     = time.Second
	helloInterval = 100 * time.Millisecond
	tick          = 20 * time.Millisecond
	// maxHops is how often a request may be moved.
	maxHops = 2
)

// request is one attempt of a caller at one agent.
type request struct {
	arrival  *arrival
	tenant   int
	factor   float64
	deadline time.Duration
	attempt  int
	hops     int
	// delay is the extra way of the answer through the agents that moved it.
	delay time.Duration
	// received is when the first agent got the attempt.
	received time.Duration
	started  time.Duration
	boot     uint64
}

// agent is the process beside a target, with the decisions of core/admission.
type agent struct {
	sim    *simulation
	id     uint64
	index  int
	zone   int
	target *target
	out    bool

	limiter admission.Limiter
	queue   admission.Queue[*request]
	balance admission.Balance
	busy    admission.Average
	// took is a moving average of service times, for estimates of waiting.
	took    time.Duration
	running []*request
	flows   int
	flowsIn meter
	boot    uint64
	down    bool

	// peers holds the last load that each other agent reported.
	peers []admission.Load
	// reports are snapshots for the compared policies, oldest first.
	reports []snapshot
}

func tenantName(n int) string {
	return fmt.Sprintf("tenant-%d", n)
}

// allow is the number of requests that the target may have in progress.
func (a *agent) allow() int {
	if a.sim.options.noLimit {
		return a.sim.site.Slots
	}

	return a.limiter.CurrentLimit()
}

// load is what the agent reports of itself.
func (a *agent) load() admission.Load {
	now := a.sim.Now

	return admission.Load{
		Target:      a.id,
		Incarnation: 1,
		Busy:        a.busy.Value(now),
		Running:     len(a.running),
		Waiting:     a.queue.Len(),
		Slots:       a.sim.site.Slots,
		Limit:       a.allow(),
		Flows:       a.flows,
		Draining:    a.out,
	}
}

// view returns the agents that may get work and their loads as reported.
func (a *agent) view() ([]*agent, []admission.Load) {
	agents := []*agent{}
	loads := []admission.Load{}
	for i, o := range a.sim.agents {
		if o != a && !o.out {
			agents = append(agents, o)
			loads = append(loads, a.peers[i])
		}
	}

	return agents, loads
}

// ownerOf passes a new flow on to the peer that should own it.
func (a *agent) ownerOf(hops int) *agent {
	if hops == 0 {
		return a
	}
	agents, loads := a.view()
	i := a.balance.PickFlow(a.load(), loads, a.sim.random)
	if i < 0 {
		return a
	}

	return agents[i].ownerOf(hops - 1)
}

// receive takes a request of a flow that this agent owns.
func (a *agent) receive(q *request) {
	if a.out {
		a.sim.refuse(q, 0)
		return
	}
	if _, ours := a.sim.policy.(Ours); ours && a.offer(q) {
		return
	}
	a.admit(q)
}

// offer passes a request to a peer; it returns false if the own target is the best choice.
func (a *agent) offer(q *request) bool {
	if q.hops >= maxHops {
		return false
	}
	t := tenantName(q.tenant)
	own := a.load()
	if own.Waiting > 0 && a.queue.HasLongestQueue(t) {
		return false
	}
	agents, loads := a.view()
	i := a.balance.PickRequest(a.sim.Now, own, loads, a.sim.random)
	if i < 0 {
		return false
	}

	o := agents[i]
	d := a.sim.between(a, o)
	q.hops++
	a.sim.offers++
	report := a.reported()
	a.sim.After(d, func() {
		if carries(a.sim.fault, a.index) {
			o.peers[a.index] = report
		}
		if o.accepts(q, report) {
			q.delay += d
			o.admit(q)
			a.hear(o, d)
			return
		}
		a.hear(o, d)
		a.sim.After(d, func() {
			a.balance.Refused(a.sim.Now, o.id)
			a.receive(q)
		})
	})

	return true
}

// accepts reports whether a request that an owner with this load offers can be
// run soon.
func (a *agent) accepts(q *request, owner admission.Load) bool {
	return !a.out && !a.down && a.queue.AcceptsOffer(tenantName(q.tenant), a.load(), owner)
}

// hear delivers the load that a peer's answer carries.
func (a *agent) hear(o *agent, d time.Duration) {
	if !carries(a.sim.fault, o.index) {
		return
	}
	l := o.reported()
	a.sim.After(d, func() {
		a.peers[o.index] = l
	})
}

// reported is the load as it leaves the agent, wrong if the experiment says so.
func (a *agent) reported() admission.Load {
	return lie(a.sim.fault, a.index, a.load())
}

// admit runs a request, queues it, or refuses it because it can't meet its deadline.
func (a *agent) admit(q *request) {
	if a.out {
		a.sim.refuse(q, 0)
		return
	}
	if !a.down && len(a.running) < a.allow() && a.queue.Len() == 0 {
		a.run(q)
		return
	}

	t := tenantName(q.tenant)
	wait, refuse := a.queue.ShouldRefuse(t, a.allow(), a.took, q.deadline-a.sim.Now)
	if refuse || !a.queue.Push(t, q.deadline-a.took, q) {
		a.sim.refuse(q, wait)
	}
	a.dispatch()
}

func (a *agent) dispatch() {
	for len(a.running) < a.allow() && !a.down && !a.out {
		q, ok := a.queue.Pop(a.sim.Now)
		if !ok {
			return
		}
		a.run(q)
	}
}

func (a *agent) run(q *request) {
	now := a.sim.Now
	q.started = now
	q.boot = a.boot
	a.running = append(a.running, q)
	a.count()
	a.limiter.Started(now)
	a.target.start(q, func(r result, boot uint64) {
		a.finish(q, r, boot)
	})
}

// finish handles the target's reaction to a request.
func (a *agent) finish(q *request, r result, boot uint64) {
	now := a.sim.Now
	switch r {
	case refused:
		a.limiter.Failed(now)
		a.lost(q)
	case answered:
		a.sawBoot(boot)
		i := slices.Index(a.running, q)
		if i < 0 {
			return
		}
		a.running = slices.Delete(a.running, i, i+1)
		a.count()
		d := now - q.started
		a.took += (d - a.took) / 16
		a.limiter.Answered(now, d)
		a.sim.answer(q)
	}
	a.dispatch()
}

// lost handles a target that is down: the running requests have an unknown
// outcome, and the one that was refused has not run.
func (a *agent) lost(not *request) {
	a.down = true
	for _, q := range a.running {
		if q == not {
			a.sim.refuse(q, a.took)
		} else {
			a.sim.fail(q)
		}
	}
	a.running = nil
	a.count()
}

// sawBoot handles the boot identity in any packet of the target.
func (a *agent) sawBoot(boot uint64) {
	a.down = false
	if boot == a.boot {
		return
	}
	a.boot = boot
	a.limiter.SetBoot(boot)
	a.running = slices.DeleteFunc(a.running, func(q *request) bool {
		if q.boot == boot {
			return false
		}
		a.sim.fail(q)

		return true
	})
	a.count()
}

// hello asks the target for its boot identity.
func (a *agent) hello() {
	b, ok := a.target.hello(a.boot)
	switch {
	case ok:
		a.sawBoot(b)
	case !a.down:
		a.limiter.Failed(a.sim.Now)
		a.lost(nil)
	}
	a.dispatch()
}

func (a *agent) expire() {
	for _, q := range a.queue.Expired(a.sim.Now) {
		a.sim.refuse(q, a.took)
	}
}

func (a *agent) count() {
	a.busy.Set(a.sim.Now, len(a.running))
}

func (a *agent) setFlows(d int) {
	a.flows += d
	a.flowsIn.set(a.sim.Now, a.flows)
}

// late is the snapshot that is reportDelay old.
func (a *agent) late() snapshot {
	return a.reports[0]
}

func (a *agent) snapshot() {
	a.reports = append(a.reports, snapshot{
		flows:    a.flows,
		requests: len(a.running) + a.queue.Len(),
	})
	if len(a.reports) > int(reportDelay/helloInterval)+1 {
		a.reports = a.reports[1:]
	}
}
