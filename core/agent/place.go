package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

// lateFactor is how many mean service times a request without an answer must
// have been in progress to count as a failure of the target.
const lateFactor = 4

// targetGrace is how long requests wait for a target that is gone, if no peer
// takes them.
const targetGrace = 2 * time.Second

// place gives a request that certainly does not run to a peer or to the own
// queue, or refuses it.
func (c *Core) place(r *request) {
	if c.now >= r.deadline {
		c.refuse(r, 0)
		return
	}
	if q := c.pickPeer(r); q != nil {
		c.offerTo(r, q)
		return
	}
	if !c.mayRun(r) {
		c.refuse(r, retryAfterOut)
		return
	}
	c.enqueue(r)
}

// enqueue refuses at once what would not be served before its deadline or would
// wait for long.
func (c *Core) enqueue(r *request) {
	wait, refuse, latest := time.Duration(0), false, r.deadline
	if c.queue.Len() > 0 || c.running() >= c.limiter.Allow() {
		wait, refuse = c.queue.Refuse(r.tenant, c.limiter.Allow(), c.backend.mean, r.deadline-c.now)
		// Passed later than this, the request would most likely be lost after it ran.
		latest -= c.backend.mean
	}
	if refuse || !c.queue.Push(r.tenant, latest, r) {
		c.refuse(r, wait)
	}
}

// waitEstimate is how long a new request of a tenant waits for a slot.
func (c *Core) waitEstimate(tenant string) time.Duration {
	slots := c.limiter.Allow()
	if c.queue.Len() == 0 && c.running() < slots {
		return 0
	}

	return c.queue.WaitOf(tenant, slots, c.backend.mean)
}

// mayRun reports whether the own target may get the request now or soon.
func (c *Core) mayRun(r *request) bool {
	return c.targetOpen() && r.barred != c.barrier() && c.serves(r.key.service)
}

// barrier is the start of the target that barred requests avoid. It is never
// zero, which is what a request without a bar has.
func (c *Core) barrier() uint64 {
	return max(1, c.backend.boot)
}

// targetOpen reports whether the own target takes requests by tickets and
// health. A leaving target finishes its queue within a short time.
func (c *Core) targetOpen() bool {
	if !c.inService() || c.leaving() && c.now >= c.drain.since+drainGrace && !c.last() {
		return false
	}

	return !c.backend.gone(c.now)
}

// last reports whether this agent stops beside a target that stays, and no peer
// can take its work: it then serves on until the stop is complete.
func (c *Core) last() bool {
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

// pump passes waiting requests to the target while slots are free.
func (c *Core) pump() {
	if c.queue.Len() == 0 || !c.confirmed() || !c.targetOpen() || !c.backend.ready(c.now) {
		return
	}
	for c.running() < c.allowed() {
		r, ok := c.queue.Pop(c.now)
		if !ok {
			return
		}
		c.pass(r)
	}
}

// allowed is the number of requests that the target may have in progress. A
// target that was not heard just now may have restarted: it gets at most one
// request until it has shown its boot identity, which takes a local round trip.
func (c *Core) allowed() int {
	n := c.limiter.Allow()
	b := &c.backend
	if n <= 1 || c.now-b.heard <= bootFresh {
		return n
	}
	if c.now-b.helloAt >= bootFresh {
		c.hello()
	}

	return 1
}

// pass passes a request to the target. From here on it may have run.
func (c *Core) pass(r *request) {
	b := &c.backend
	if b.passes == nil {
		b.passes = map[passKey]*request{}
	}
	if b.passes[r.passKey()] != nil {
		c.refuse(r, 0)
		return
	}

	b.pass = b.pass%passMax + 1
	r.pass = b.pass
	r.boot = b.boot
	r.passedAt = c.now
	r.state = passed
	b.passes[r.passKey()] = r
	c.Counters.Passed++
	c.limiter.Started(c.now)
	c.noteBusy()
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

// passMax bounds pass numbers to what the codec carries.
const passMax = 1<<31 - 1

// expireRequests ends requests whose deadline has passed.
func (c *Core) expireRequests() {
	for _, r := range c.queue.Expired(c.now) {
		c.refuse(r, c.waitEstimate(r.tenant))
	}
	for r := c.progress.first; r != nil; {
		next := r.next
		if c.now >= r.deadline {
			c.expireRequest(r)
		}
		r = next
	}
	c.expireSlots()
	c.refuseStranded()
}

func (c *Core) expireRequest(r *request) {
	switch r.state {
	case passed:
		// A request that was passed shortly before its deadline tells nothing of
		// the target; taken for a failure, it would cut the limit under overload.
		if c.now-r.passedAt > lateFactor*c.backend.mean {
			c.limiter.Failed(c.now)
		}
		c.cancelAtTarget(r)
		c.refuse(r, c.waitEstimate(r.tenant))
	case offeredToPeer:
		c.cancelOffer(r)
		c.refuse(r, c.waitEstimate(r.tenant))
	}
}

// refuseStranded moves or refuses waiting requests whose target is closed.
func (c *Core) refuseStranded() {
	if c.queue.Len() > 0 && !c.targetOpen() {
		c.replaceWaiting()
	}
}

// replaceWaiting places all waiting requests again.
func (c *Core) replaceWaiting() {
	if c.queue.Len() == 0 {
		return
	}
	c.queue.Remove(func(*request) bool {
		return true
	})
	for r := c.progress.first; r != nil; {
		next := r.next
		if r.state == received {
			c.place(r)
		}
		r = next
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

// cancel applies a caller's Cancel. A request that was not passed on ends at
// once; one that has not arrived yet is never run.
func (c *Core) cancel(f *flow, p *packet.Packet) {
	if p.Request == 0 {
		c.Counters.DroppedNumber++
		return
	}
	if r := f.inProgress(p.Request); r != nil {
		c.cancelRequest(r)
		return
	}
	if f.window.check(p.Request) != unseen {
		return
	}
	f.window.mark(p.Request)
	c.finish(c.newRequest(f, p), c.refusal(packet.StatusCancelled, 0))
}

func (c *Core) cancelRequest(r *request) {
	switch r.state {
	case received:
		c.dequeue(r)
		c.endCancelled(r)
	case offeredToPeer:
		c.cancelOffer(r)
	case passed:
		c.cancelAtTarget(r)
	}
}

// endCancelled answers a request that will not run after its cancellation.
func (c *Core) endCancelled(r *request) {
	if r.ran {
		c.refuse(r, 0)
		return
	}
	c.finish(r, c.refusal(packet.StatusCancelled, 0))
}

// dropRequests ends the requests of a flow that is closed; nobody waits for
// their answers.
func (c *Core) dropRequests(f *flow) {
	for r := f.open; r != nil; r = f.open {
		switch r.state {
		case received:
			c.dequeue(r)
		case offeredToPeer:
			c.cancelOffer(r)
		case passed:
			c.cancelAtTarget(r)
		}
		c.Counters.Cancelled++
		c.end(r)
	}
}
