package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

// lateFactor is how many mean service times a request must have been at the
// target, when its deadline passes, to count as a failure of the target.
const lateFactor = 4

// targetGrace is how long requests wait for a target that is down, if no peer
// takes them.
const targetGrace = 2 * time.Second

// placeRequest offers a request that is certainly not running to a peer, puts
// it into this agent's queue, or refuses it.
func (c *Core) placeRequest(r *request) {
	if c.now >= r.deadline {
		c.refuse(r, 0)
		return
	}
	if q := c.pickPeer(r); q != nil {
		c.offerTo(r, q)
		return
	}
	if !c.mayRun(r) {
		c.refuse(r, retryAfterUnavailable)
		return
	}
	c.enqueueRequest(r)
}

// enqueueRequest queues a request, or refuses it at once if it would miss its
// deadline or wait too long.
func (c *Core) enqueueRequest(r *request) {
	wait, refuse, latest := time.Duration(0), false, r.deadline
	if c.queue.Len() > 0 || c.running() >= c.limiter.CurrentLimit() {
		wait, refuse = c.queue.ShouldRefuse(r.tenant, c.limiter.CurrentLimit(), c.backend.meanServiceTime, r.deadline-c.now)
		// A request that is passed later than this would most likely end after
		// its deadline, and its run would be wasted.
		latest -= c.backend.meanServiceTime
	}
	if refuse || !c.queue.Push(r.tenant, latest, r) {
		c.refuse(r, wait)
	}
}

// waitEstimate returns how long a new request of a tenant is expected to wait
// for a slot.
func (c *Core) waitEstimate(tenant string) time.Duration {
	slots := c.limiter.CurrentLimit()
	if c.queue.Len() == 0 && c.running() < slots {
		return 0
	}

	return c.queue.EstimateTenantWait(tenant, slots, c.backend.meanServiceTime)
}

// mayRun reports whether this agent's target may get the request now or soon.
func (c *Core) mayRun(r *request) bool {
	return c.targetUsable() && r.excludedBoot != c.bootOrOne() && c.serves(r.key.service)
}

// bootOrOne returns the target's boot identity, or 1 while it is unknown. It is
// compared with request.excludedBoot, where zero excludes no start.
func (c *Core) bootOrOne() uint64 {
	return max(1, c.backend.boot)
}

// targetUsable reports whether this agent's target may get requests: tickets
// allow it, and the target is not down for longer than targetGrace. A leaving
// target gets requests for drainGrace only, unless servesUntilStopped.
func (c *Core) targetUsable() bool {
	if !c.inService() || c.leaving() && c.now >= c.drain.since+drainGrace && !c.servesUntilStopped() {
		return false
	}

	return !c.backend.pastGrace(c.now)
}

// servesUntilStopped reports whether this agent serves until its shutdown is
// complete: its target is not draining, and no peer can take its work.
func (c *Core) servesUntilStopped() bool {
	if c.view == nil || c.view.Draining || c.group == nil {
		return false
	}
	for _, q := range c.group.peers {
		if q.usable() {
			return false
		}
	}

	return true
}

// passWaiting passes waiting requests to the target while slots are free.
func (c *Core) passWaiting() {
	if c.queue.Len() == 0 || !c.confirmed() || !c.targetUsable() || !c.backend.ready(c.now) {
		return
	}
	for c.running() < c.requestLimit() {
		r, ok := c.queue.Pop(c.now)
		if !ok {
			return
		}
		c.pass(r)
	}
}

// requestLimit returns how many requests the target may have in progress. A
// target that sent nothing within maxBootAge may have restarted: it gets at
// most one request until it has shown its boot identity, which takes a local
// round trip.
func (c *Core) requestLimit() int {
	n := c.limiter.CurrentLimit()
	b := &c.backend
	if n <= 1 || c.now-b.heard <= maxBootAge {
		return n
	}
	if c.now-b.helloAt >= maxBootAge {
		c.sendHello()
	}

	return 1
}

// pass passes a request to the target. From here on it may have run.
func (c *Core) pass(r *request) {
	b := &c.backend
	if !b.passes.add(r) {
		c.refuse(r, 0)
		return
	}

	r.boot = b.boot
	r.passedAt = c.now
	r.state = passed
	c.Counters.Passed++
	c.limiter.Started(c.now)
	c.updateBusy()
	c.observe(r, ObserveWait, c.now-r.received, packet.StatusOK)
	c.emit(SendTarget{
		Packet: packet.Packet{
			Kind:       packet.Request,
			Service:    r.address,
			Flow:       r.key.flow,
			Request:    r.number,
			Attempt:    r.pass,
			Idempotent: r.idempotent,
			Deadline:   r.remaining(c.now),
			Tenant:     []byte(r.tenant),
			Boot:       b.boot,
			Payload:    r.payload,
		},
	})
}

// expireRequests ends requests whose deadline has passed.
func (c *Core) expireRequests() {
	for _, r := range c.queue.Expired(c.now) {
		c.refuse(r, c.waitEstimate(r.tenant))
	}
	for r := range c.inProgress.all() {
		if c.now >= r.deadline {
			c.expireRequest(r)
		}
	}
	c.expireSlots()
	c.reassignStranded()
}

func (c *Core) expireRequest(r *request) {
	switch r.state {
	case passed:
		// A request that was passed shortly before its deadline says nothing
		// about the target. Counted as a failure, it would cut the limit under
		// overload.
		if c.now-r.passedAt > lateFactor*c.backend.meanServiceTime {
			c.limiter.Failed(c.now)
		}
		c.cancelAtTarget(r)
		c.refuse(r, c.waitEstimate(r.tenant))
	case offeredToPeer:
		c.cancelOffer(r)
		c.refuse(r, c.waitEstimate(r.tenant))
	}
}

// reassignStranded places waiting requests again if the target may not get them
// any more.
func (c *Core) reassignStranded() {
	if c.queue.Len() > 0 && !c.targetUsable() {
		c.reassignWaiting()
	}
}

// reassignWaiting places all waiting requests again.
func (c *Core) reassignWaiting() {
	if c.queue.Len() == 0 {
		return
	}
	c.queue.Remove(func(*request) bool {
		return true
	})
	for r := range c.inProgress.all() {
		if r.state == received {
			c.placeRequest(r)
		}
	}
}

func (c *Core) cancelAtTarget(r *request) {
	c.emit(SendTarget{
		Packet: packet.Packet{
			Kind:    packet.Cancel,
			Flow:    r.key.flow,
			Request: r.number,
			Attempt: r.pass,
			Boot:    r.boot,
		},
	})
}

// dequeue removes a waiting request from the queue.
func (c *Core) dequeue(r *request) {
	c.queue.Remove(func(o *request) bool {
		return o == r
	})
}

// handleCancel applies a caller's Cancel. A request that still waits in the
// queue ends at once; one that has not arrived yet is never run.
func (c *Core) handleCancel(f *flow, p *packet.Packet) {
	if p.Request == 0 {
		c.Counters.DroppedNumber++
		return
	}
	if r := f.findRequest(p.Request); r != nil {
		c.cancelRequest(r)
		return
	}
	if f.window.check(p.Request) != unseen {
		return
	}
	f.window.mark(p.Request)
	c.finishRequest(c.newRequest(f, p), c.refusal(packet.StatusCancelled, 0))
}

func (c *Core) cancelRequest(r *request) {
	switch r.state {
	case received:
		c.dequeue(r)
		c.finishCancelled(r)
	case offeredToPeer:
		c.cancelOffer(r)
	case passed:
		c.cancelAtTarget(r)
	}
}

// finishCancelled ends a cancelled request. Its outcome is unknown if an
// earlier attempt may have run it.
func (c *Core) finishCancelled(r *request) {
	if r.mayHaveRun {
		c.refuse(r, 0)
		return
	}
	c.finishRequest(r, c.refusal(packet.StatusCancelled, 0))
}

// dropRequests ends the requests of a flow that is closed; nobody waits for
// their answers.
func (c *Core) dropRequests(f *flow) {
	for r := f.requests; r != nil; r = f.requests {
		switch r.state {
		case received:
			c.dequeue(r)
		case offeredToPeer:
			c.cancelOffer(r)
		case passed:
			c.cancelAtTarget(r)
		}
		c.Counters.Cancelled++
		c.removeRequest(r)
	}
}
