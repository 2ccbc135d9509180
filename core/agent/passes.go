package agent

import (
	"slices"
	"time"

	"ibisfold.example/core/packet"
)

const (
	// maxAbandonedTime bounds how long a request without an answer keeps its
	// slot, because a target's report of running requests may be wrong.
	maxAbandonedTime = time.Minute
	// maxPassNumber is the highest pass number that the codec carries.
	maxPassNumber = 1<<31 - 1
)

// passKey identifies a pass, that is, one sending of a request to the target. A
// request has at most one pass in progress.
type passKey struct {
	flow   uint64
	number uint64
}

func (r *request) passKey() passKey {
	return passKey{
		flow:   r.key.flow,
		number: r.number,
	}
}

// passTable holds the passes that may still run at the target. Each takes a slot.
type passTable struct {
	// requests are the passed requests, abandoned ones included.
	requests map[passKey]*request
	// abandoned counts the requests that got their final answer.
	abandoned int
	// inherited is the number of requests of an earlier start of the agent that
	// still run; inheritedUntil is when they no longer count.
	inherited      int
	inheritedUntil time.Duration
	// ended are passes that ended while inherited requests were counted.
	ended ttlCache[passKey, struct{}]
	// reported is true once a HelloAck has reported the running requests of the
	// target's present start.
	reported bool
	// lastNumber is the number of the last pass.
	lastNumber uint32
}

// slots returns how many slots of the target are in use.
func (t *passTable) slots() int {
	return len(t.requests) + t.inherited
}

// add numbers the pass of a request. It returns false if the request has one
// already.
func (t *passTable) add(r *request) bool {
	if t.requests[r.passKey()] != nil {
		return false
	}
	if t.requests == nil {
		t.requests = map[passKey]*request{}
	}
	t.lastNumber = t.lastNumber%maxPassNumber + 1
	r.pass = t.lastNumber
	t.requests[r.passKey()] = r

	return true
}

// match returns the request that a packet of the target belongs to: same flow,
// request number and boot identity, and the same pass if the target repeats
// Attempt. Late and mismatched packets match none. A request is passed at most
// once to one start of the target, so a target that does not repeat Attempt is
// matched as well.
func (t *passTable) match(p *packet.Packet) *request {
	r := t.requests[passKey{
		flow:   p.Flow,
		number: p.Request,
	}]
	if r == nil || r.boot != p.Boot || p.Attempt != 0 && p.Attempt != r.pass {
		return nil
	}

	return r
}

// abandon marks a passed request that got its final answer. Its slot stays in
// use until the pass ends, or until maxAbandonedTime after its deadline.
func (t *passTable) abandon(r *request) {
	r.state = abandoned
	r.passedAt = max(r.passedAt, r.deadline)
	t.abandoned++
}

// end ends a pass and frees its slot.
func (t *passTable) end(now time.Duration, r *request) {
	k := r.passKey()
	delete(t.requests, k)
	if r.state == abandoned {
		t.abandoned--
	}
	if t.inherited > 0 {
		t.ended.put(now, k, struct{}{}, 1)
	}
}

// endInherited frees the slot of an inherited request, and reports whether it
// did so. Only the first packet about a request frees one.
func (t *passTable) endInherited(now time.Duration, k passKey) bool {
	if t.inherited == 0 {
		return false
	}
	if _, ok := t.ended.get(k); ok {
		return false
	}
	t.ended.put(now, k, struct{}{}, 1)
	t.inherited--

	return true
}

// clear ends all passes, because the target restarted or is unreachable.
func (t *passTable) clear() {
	t.inherited = 0
	t.reported = false
	t.abandoned = 0
	clear(t.requests)
}

// reconcile compares the slots of inherited and abandoned requests with unknown,
// the number of requests that run at the target and still lack an answer here.
// The first report after a start shows those of an earlier start of the agent;
// later reports can only lower their count, since only passes raise it.
func (t *passTable) reconcile(now time.Duration, unknown int) {
	if !t.reported {
		t.reported = true
		t.inherited = unknown
		t.inheritedUntil = now + maxAbandonedTime
		t.ended.limit(maxAbandonedTime, maxInProgress)
	}
	if excess := t.inherited + t.abandoned - unknown; excess > 0 {
		n := min(excess, t.inherited)
		t.inherited -= n
		t.releaseAbandoned(now, excess-n)
	}
}

// releaseAbandoned frees the slots of n abandoned requests, in the order of
// their passes so that the choice does not depend on map order.
func (t *passTable) releaseAbandoned(now time.Duration, n int) {
	if n <= 0 {
		return
	}
	l := t.abandonedRequests()
	for _, r := range l[:min(n, len(l))] {
		t.end(now, r)
	}
}

func (t *passTable) abandonedRequests() []*request {
	l := []*request{}
	for _, r := range t.requests {
		if r.state == abandoned {
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b *request) int {
		return int(a.pass) - int(b.pass)
	})

	return l
}

// expireAbandoned frees the slots of abandoned requests after maxAbandonedTime.
func (t *passTable) expireAbandoned(now time.Duration) {
	for _, r := range t.abandonedRequests() {
		if now-r.passedAt >= maxAbandonedTime {
			t.end(now, r)
		}
	}
}

// running returns how many slots of the target are in use.
func (c *Core) running() int {
	return c.backend.passes.slots()
}

func (c *Core) updateBusy() {
	c.busy.Set(c.now, c.running())
}

// expireSlots frees the slots of inherited and abandoned requests whose time is
// over.
func (c *Core) expireSlots() {
	t := &c.backend.passes
	if t.inherited > 0 && c.now >= t.inheritedUntil {
		t.inherited = 0
		c.updateBusy()
	}
	if t.abandoned > 0 {
		t.expireAbandoned(c.now)
		c.updateBusy()
	}
}
