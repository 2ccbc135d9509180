package agent

import (
	"slices"
	"time"
)

// maxAbandonedTime bounds how long a request without an answer keeps its slot,
// because a target's report of running requests may be wrong.
const maxAbandonedTime = time.Minute

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

// abandon marks a passed request that got its final answer. Its slot stays in
// use until the pass ends, or until maxAbandonedTime after its deadline.
func (b *backend) abandon(r *request) {
	r.state = abandoned
	r.passedAt = max(r.passedAt, r.deadline)
	b.abandoned++
}

// endPass ends a pass and frees its slot.
func (b *backend) endPass(now time.Duration, r *request) {
	k := r.passKey()
	delete(b.passes, k)
	if r.state == abandoned {
		b.abandoned--
	}
	if b.inherited > 0 {
		b.endedPasses.put(now, k, struct{}{}, 1)
	}
}

// running returns how many slots of the target are in use.
func (c *Core) running() int {
	return len(c.backend.passes) + c.backend.inherited
}

func (c *Core) updateBusy() {
	c.busy.Set(c.now, c.running())
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

// releaseAbandoned frees the slots of n abandoned requests, in the order of
// their passes so that the choice does not depend on map order.
func (c *Core) releaseAbandoned(n int) {
	if n <= 0 {
		return
	}
	l := c.abandonedPasses()
	for _, r := range l[:min(n, len(l))] {
		c.backend.endPass(c.now, r)
	}
}

func (c *Core) abandonedPasses() []*request {
	l := []*request{}
	for _, r := range c.backend.passes {
		if r.state == abandoned {
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b *request) int {
		return int(a.pass) - int(b.pass)
	})

	return l
}

// expireSlots frees the slots of inherited and abandoned requests after
// maxAbandonedTime.
func (c *Core) expireSlots() {
	b := &c.backend
	if b.inherited > 0 && c.now >= b.inheritedUntil {
		b.inherited = 0
		c.updateBusy()
	}
	if b.abandoned == 0 {
		return
	}
	for _, r := range c.abandonedPasses() {
		if c.now-r.passedAt >= maxAbandonedTime {
			b.endPass(c.now, r)
		}
	}
	c.updateBusy()
}
