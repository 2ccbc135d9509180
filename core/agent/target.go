package agent

import (
	"slices"
	"time"

	"ibisfold.example/core/packet"
)

const (
	// helloInterval is the time between two Hello packets, helloRetryInterval
	// that while the target is not ready.
	helloInterval      = time.Second
	helloRetryInterval = 200 * time.Millisecond
	// maxTargetSilence is how long a target may be silent before it gets no more
	// requests.
	maxTargetSilence = 3 * time.Second
	// maxBootAge is how long the boot identity in a packet of the target counts
	// as current.
	maxBootAge = 5 * time.Millisecond
	// maxFormerBoots is how many earlier boot identities are remembered, so that
	// a late packet of an earlier start is not taken for another restart.
	maxFormerBoots = 8
	// serviceTimeWeight is the divisor of the moving average of the service time:
	// one answer counts for an eighth.
	serviceTimeWeight = 8
)

// backend is the state of the target beside the agent.
type backend struct {
	boot        uint64
	formerBoots []uint64
	// up is true from a HelloAck of the target until it restarts or its address
	// refuses a packet.
	up bool
	// heard is when the target last sent a packet.
	heard time.Duration
	// downAt is when a tick first found the target not ready; zero while it is
	// ready.
	downAt time.Duration
	// helloAt is when Hello was last sent; it is valid if helloSent is true.
	helloAt   time.Duration
	helloSent bool
	// passes are the requests that the target may be running.
	passes passTable
	// meanServiceTime is the moving average of the service time.
	meanServiceTime time.Duration
}

func (b *backend) silent(now time.Duration) bool {
	return now-b.heard > maxTargetSilence
}

// ready reports whether the target takes requests.
func (b *backend) ready(now time.Duration) bool {
	return b.up && b.boot != 0 && !b.silent(now)
}

// updateReadiness records since when the target has not been ready.
func (b *backend) updateReadiness(now time.Duration) {
	switch {
	case b.ready(now):
		b.downAt = 0
	case b.downAt == 0:
		b.downAt = max(now, 1)
	}
}

// pastGrace reports whether the target has been down for longer than
// targetGrace, so that requests no longer wait for it.
func (b *backend) pastGrace(now time.Duration) bool {
	return b.downAt != 0 && now-b.downAt > targetGrace && !b.ready(now)
}

// pollTarget sends Hello at the start, regularly and more often while the
// target is not ready. It sends none while the zone is out of service.
func (c *Core) pollTarget() {
	b := &c.backend
	b.updateReadiness(c.now)
	if c.view != nil && c.view.Known && !c.view.ZoneInService {
		return
	}
	interval := helloInterval
	if !b.ready(c.now) {
		interval = helloRetryInterval
	}
	if b.helloSent && c.now-b.helloAt < interval {
		return
	}
	c.sendHello()
}

func (c *Core) sendHello() {
	c.backend.helloSent = true
	c.backend.helloAt = c.now
	c.emit(SendTarget{
		Packet: packet.Packet{
			Kind: packet.Hello,
		},
	})
}

func (c *Core) fromTarget(p *packet.Packet) {
	known := c.backend.boot
	if !c.updateBoot(p.Boot) {
		c.Counters.LateAnswers++
		return
	}

	c.backend.heard = c.now
	switch p.Kind {
	case packet.HelloAck:
		if known != 0 && known != p.Boot {
			// The report may lack requests that were passed after the Hello; the
			// next one counts them.
			return
		}
		c.helloAcked(p)
	case packet.Answer:
		c.targetAnswered(p)
	case packet.Shed:
		c.targetShed(p)
	default:
		c.Counters.DroppedKind++
	}
}

// updateBoot records the boot identity in a packet of the target. It returns
// false for packets of an earlier start and for those without an identity.
func (c *Core) updateBoot(boot uint64) bool {
	b := &c.backend
	if boot == 0 || slices.Contains(b.formerBoots, boot) {
		return false
	}
	if boot == b.boot {
		return true
	}

	old := b.boot
	b.boot = boot
	c.limiter.SetBoot(boot)
	if old == 0 {
		return true
	}
	b.formerBoots = append(b.formerBoots, old)
	if len(b.formerBoots) > maxFormerBoots {
		b.formerBoots = slices.Delete(b.formerBoots, 0, 1)
	}
	c.Counters.TargetRestarts++
	// Requests passed since the restart may be running; HelloAck reports how many.
	b.up = false
	c.loseTarget()
	c.sendHello()

	return true
}

// targetUnreachable records that nothing listens at the target's address.
func (c *Core) targetUnreachable() {
	if !c.backend.up {
		return
	}
	c.Counters.TargetRestarts++
	c.backend.up = false
	c.limiter.Failed(c.now)
	c.loseTarget()
}

// loseTarget ends the passes to a target that restarted or is unreachable. Its
// requests no longer run, but whether they took effect is unknown.
func (c *Core) loseTarget() {
	c.backend.passes.clear()
	c.updateBusy()

	for r := range c.inProgress.all() {
		if r.state == passed {
			r.state = received
			r.excludedBoot = r.boot
			c.retryOrRefuse(r)
		}
	}
}

// retryOrRefuse handles a request that may have run. It places the request
// again if the request is idempotent, its deadline has not passed and the retry
// budget allows it, and refuses it otherwise.
func (c *Core) retryOrRefuse(r *request) {
	r.mayHaveRun = true
	r.parts = parts{}
	if r.idempotent && c.now < r.deadline && c.retries.Allow(r.tenant) {
		c.Counters.Retries++
		c.placeRequest(r)
		return
	}
	c.refuse(r, c.waitEstimate(r.tenant))
}

// helloAcked compares the running requests that the target reports with those
// that this agent passed; see passTable.reconcile.
func (c *Core) helloAcked(p *packet.Packet) {
	b := &c.backend
	b.up = true
	running := int(min(p.Running, uint32(c.limiter.Slots)))
	b.passes.reconcile(c.now, max(0, running-c.runningBefore(b.helloAt)))
	c.updateBusy()
}

// runningBefore counts the requests that were passed before the given time and
// have no final answer.
func (c *Core) runningBefore(at time.Duration) int {
	n := 0
	for r := range c.inProgress.all() {
		if r.state == passed && r.passedAt < at {
			n++
		}
	}

	return n
}

func (c *Core) targetAnswered(p *packet.Packet) {
	r := c.backend.passes.match(p)
	if r == nil {
		c.inheritedAnswered(p)
		return
	}
	if !r.parts.add(p) {
		return
	}

	took := c.now - r.passedAt
	c.backend.passes.end(c.now, r)
	c.updateBusy()
	if r.state == abandoned {
		return
	}
	r.state = received
	if p.Status == packet.StatusOK {
		c.limiter.Answered(c.now, took)
		c.backend.meanServiceTime += (took - c.backend.meanServiceTime) / serviceTimeWeight
	}
	c.observe(r, ObserveService, took, packet.StatusOK)
	c.finishRequest(r, answer{
		kind:   packet.Answer,
		status: p.Status,
		parts:  r.parts.data,
	})
}

// inheritedAnswered handles an answer that matches no pass. It frees a slot if
// a request of an earlier start of the agent has ended.
func (c *Core) inheritedAnswered(p *packet.Packet) {
	c.Counters.LateAnswers++
	if p.Part+1 < p.Parts {
		return
	}
	k := passKey{
		flow:   p.Flow,
		number: p.Request,
	}
	if c.backend.passes.endInherited(c.now, k) {
		c.updateBusy()
	}
}

// targetShed places a request again that the target refused to run. The request
// is not passed to the same start of the target a second time.
func (c *Core) targetShed(p *packet.Packet) {
	r := c.backend.passes.match(p)
	if r == nil {
		c.Counters.LateAnswers++
		return
	}

	c.Counters.Shed++
	c.limiter.Failed(c.now)
	c.backend.passes.end(c.now, r)
	c.updateBusy()
	if r.state == abandoned {
		return
	}
	r.state = received
	r.excludedBoot = c.bootOrOne()
	r.parts = parts{}
	if !c.retries.Allow(r.tenant) {
		c.refuse(r, c.waitEstimate(r.tenant))
		return
	}
	c.Counters.Retries++
	c.placeRequest(r)
}
