package experiment

import (
	"fmt"
	"slices"
	"time"

	"ibisfold.example/core/admission"
)

const (
	// maxWaitServiceTimes bounds the estimated wait of a request that is queued, in mean
	// service times; see docs/decisions/0012-longest-wait.md.
	maxWaitServiceTimes = 5
	// heartbeat is the interval of load reports to all peers.
	heartbeat = time.Second
	// bootPollInterval is the interval of reads of the target's boot identity and of
	// snapshots.
	bootPollInterval = 100 * time.Millisecond
	// tickInterval is the interval of checks for expired requests.
	tickInterval = 20 * time.Millisecond
	// maxHops bounds how often a request is offered to a peer.
	maxHops = 2
)

// request is one attempt of a caller to have a request answered.
type request struct {
	arrival       *arrival
	tenant        int
	serviceFactor float64
	deadline      time.Duration
	attempt       int
	hops          int
	// delay is the additional delay of the answer because agents moved the request.
	delay time.Duration
	// received is when the first agent got the attempt, started when the target got it.
	received time.Duration
	started  time.Duration
	// boot is the boot identity of the target that the agent knew at the start.
	boot uint64
}

// agent simulates the agent beside a target. Its decisions are those of core/admission.
type agent struct {
	sim          *simulation
	id           uint64
	index        int
	zone         int
	target       *target
	outOfService bool

	limiter admission.Limiter
	queue   admission.Queue[*request]
	balance admission.Balance
	busy    admission.Average
	// meanServiceTime is a moving average, used to estimate waiting times.
	meanServiceTime time.Duration
	running         []*request
	flows           int
	flowMeter       meter
	boot            uint64
	down            bool

	// peerLoads holds the last load that each agent reported, by index.
	peerLoads []admission.Load
	// snapshots are the states that the compared policies use, oldest first.
	snapshots []snapshot
}

func tenantName(n int) string {
	return fmt.Sprintf("tenant-%d", n)
}

// limit returns the number of requests that the target may have in progress.
func (a *agent) limit() int {
	if a.sim.options.noLimit {
		return a.sim.site.Slots
	}

	return a.limiter.CurrentLimit()
}

// load returns the agent's true load.
func (a *agent) load() admission.Load {
	now := a.sim.Now

	return admission.Load{
		Target:      a.id,
		Incarnation: 1,
		Busy:        a.busy.Value(now),
		Running:     len(a.running),
		Waiting:     a.queue.Len(),
		Slots:       a.sim.site.Slots,
		Limit:       a.limit(),
		Flows:       a.flows,
		Draining:    a.outOfService,
	}
}

// candidates returns the peers in service and their loads as reported.
func (a *agent) candidates() ([]*agent, []admission.Load) {
	agents := []*agent{}
	loads := []admission.Load{}
	for i, o := range a.sim.agents {
		if o != a && !o.outOfService {
			agents = append(agents, o)
			loads = append(loads, a.peerLoads[i])
		}
	}

	return agents, loads
}

// pickOwner returns the agent that should own a new flow. The flow moves at most hops times
// from agent to agent, each of which decides by the load reports that it has.
func (a *agent) pickOwner(hops int) *agent {
	if hops == 0 {
		return a
	}
	agents, loads := a.candidates()
	i := a.balance.PickFlow(a.load(), loads, a.sim.random)
	if i < 0 {
		return a
	}

	return agents[i].pickOwner(hops - 1)
}

// receive handles a request of a flow that this agent owns.
func (a *agent) receive(q *request) {
	if a.outOfService {
		a.sim.refuse(q, 0)
		return
	}
	if _, isIbisfold := a.sim.policy.(Ibisfold); isIbisfold && a.offer(q) {
		return
	}
	a.admit(q)
}

// offer offers a request to a peer. It returns false if the agent's own target is the best
// choice.
func (a *agent) offer(q *request) bool {
	if q.hops >= maxHops {
		return false
	}
	t := tenantName(q.tenant)
	own := a.load()
	if own.Waiting > 0 && a.queue.HasLongestQueue(t) {
		return false
	}
	agents, loads := a.candidates()
	i := a.balance.PickRequest(a.sim.Now, own, loads, a.sim.random)
	if i < 0 {
		return false
	}

	o := agents[i]
	d := a.sim.pathDelay(a, o)
	q.hops++
	a.sim.offers++
	report := a.reportedLoad()
	a.sim.After(d, func() {
		if carriesLoad(a.sim.fault, a.index) {
			o.peerLoads[a.index] = report
		}
		if o.accepts(q, report) {
			q.delay += d
			o.admit(q)
			a.updatePeerLoad(o, d)
			return
		}
		a.updatePeerLoad(o, d)
		a.sim.After(d, func() {
			a.balance.Refused(a.sim.Now, o.id)
			a.receive(q)
		})
	})

	return true
}

// accepts reports whether the agent accepts a request that an owner with the given load
// offers.
func (a *agent) accepts(q *request, owner admission.Load) bool {
	return !a.outOfService && !a.down && a.queue.AcceptsOffer(tenantName(q.tenant), a.load(), owner)
}

// updatePeerLoad records the load that the answer of peer o carries, after the delay d.
func (a *agent) updatePeerLoad(o *agent, d time.Duration) {
	if !carriesLoad(a.sim.fault, o.index) {
		return
	}
	l := o.reportedLoad()
	a.sim.After(d, func() {
		a.peerLoads[o.index] = l
	})
}

// reportedLoad returns the load that the agent reports, with the fault of the experiment.
func (a *agent) reportedLoad() admission.Load {
	return misreport(a.sim.fault, a.index, a.load())
}

// admit runs a request, queues it, or refuses it because it can't meet its deadline.
func (a *agent) admit(q *request) {
	if a.outOfService {
		a.sim.refuse(q, 0)
		return
	}
	if !a.down && len(a.running) < a.limit() && a.queue.Len() == 0 {
		a.run(q)
		return
	}

	t := tenantName(q.tenant)
	wait, refuse := a.queue.ShouldRefuse(t, a.limit(), a.meanServiceTime, q.deadline-a.sim.Now)
	if refuse || !a.queue.Push(t, q.deadline-a.meanServiceTime, q) {
		a.sim.refuse(q, wait)
	}
	a.dispatch()
}

// dispatch runs queued requests while the limit allows.
func (a *agent) dispatch() {
	for len(a.running) < a.limit() && !a.down && !a.outOfService {
		q, ok := a.queue.Pop(a.sim.Now)
		if !ok {
			return
		}
		a.run(q)
	}
}

// run passes a request to the target.
func (a *agent) run(q *request) {
	now := a.sim.Now
	q.started = now
	q.boot = a.boot
	a.running = append(a.running, q)
	a.recordRunning()
	a.limiter.Started(now)
	a.target.start(q, func(r outcome, boot uint64) {
		a.finish(q, r, boot)
	})
}

// finish handles the target's reaction to a request.
func (a *agent) finish(q *request, r outcome, boot uint64) {
	now := a.sim.Now
	switch r {
	case refused:
		a.limiter.Failed(now)
		a.targetLost(q)
	case answered:
		a.observeBoot(boot)
		i := slices.Index(a.running, q)
		if i < 0 {
			return
		}
		a.running = slices.Delete(a.running, i, i+1)
		a.recordRunning()
		d := now - q.started
		a.meanServiceTime += (d - a.meanServiceTime) / 16
		a.limiter.Answered(now, d)
		a.sim.answer(q)
	}
	a.dispatch()
}

// targetLost handles a target that is down. The outcome of the running requests is unknown,
// except for the request notRun, which the target refused; notRun may be nil.
func (a *agent) targetLost(notRun *request) {
	a.down = true
	for _, q := range a.running {
		if q == notRun {
			a.sim.refuse(q, a.meanServiceTime)
		} else {
			a.sim.fail(q)
		}
	}
	a.running = nil
	a.recordRunning()
}

// observeBoot handles the boot identity in a packet of the target. Requests that ran at an
// earlier start have an unknown outcome.
func (a *agent) observeBoot(boot uint64) {
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
	a.recordRunning()
}

// readBoot reads the target's boot identity and detects that the target is down.
func (a *agent) readBoot() {
	b, ok := a.target.readBoot(a.boot)
	switch {
	case ok:
		a.observeBoot(b)
	case !a.down:
		a.limiter.Failed(a.sim.Now)
		a.targetLost(nil)
	}
	a.dispatch()
}

// expire refuses queued requests whose deadline has passed.
func (a *agent) expire() {
	for _, q := range a.queue.Expired(a.sim.Now) {
		a.sim.refuse(q, a.meanServiceTime)
	}
}

// recordRunning updates the average of busy slots.
func (a *agent) recordRunning() {
	a.busy.Set(a.sim.Now, len(a.running))
}

// setFlows changes the number of flows by d.
func (a *agent) setFlows(d int) {
	a.flows += d
	a.flowMeter.set(a.sim.Now, a.flows)
}

// delayedSnapshot returns the snapshot that is reportDelay old, or the oldest one.
func (a *agent) delayedSnapshot() snapshot {
	return a.snapshots[0]
}

// snapshot records the current state and forgets the one that is older than reportDelay.
func (a *agent) snapshot() {
	a.snapshots = append(a.snapshots, snapshot{
		flows:    a.flows,
		requests: len(a.running) + a.queue.Len(),
	})
	if len(a.snapshots) > int(reportDelay/bootPollInterval)+1 {
		a.snapshots = a.snapshots[1:]
	}
}
