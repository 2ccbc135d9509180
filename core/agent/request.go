package agent

import (
	"iter"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/packet"
)

const (
	// defaultDeadline is the time until the deadline of a request whose caller
	// gives none.
	defaultDeadline = 30 * time.Second
	// maxInProgress bounds the requests in progress, waiting ones included.
	maxInProgress = 4096
)

type requestState uint8

const (
	// received requests are not placed yet or wait in the queue.
	received requestState = iota
	// offeredToPeer requests may run at a peer.
	offeredToPeer
	// passed requests may run at this agent's target.
	passed
	// abandoned requests got their final answer, but the target may still run
	// them.
	abandoned
	// done requests got their final answer.
	done
)

// request is the state of one request until its final answer.
type request struct {
	prev *request
	next *request
	// sibling is the next request in progress of the same flow.
	sibling *request
	// flow is nil if a peer owns the flow; origin then names the offer.
	flow       *flow
	origin     *origin
	key        flowKey
	number     uint64
	address    netip.AddrPort
	tenant     string
	payload    []byte
	idempotent bool
	state      requestState
	// hops counts the agents that moved the request.
	hops     uint8
	received time.Duration
	deadline time.Duration

	// pass, boot and passedAt describe the last pass to this agent's target.
	pass     uint32
	boot     uint64
	passedAt time.Duration
	// excludedBoot is the boot identity under which the target must not get the
	// request again; zero if there is none.
	excludedBoot uint64
	// mayHaveRun means that an earlier attempt may have run the request, so it
	// can't be refused as not run.
	mayHaveRun bool
	parts      parts

	offer offer
	// refusedBy lists the peers that refused the request.
	refusedBy []uint64
}

// answer is a final answer. It is never changed, so commands may alias it.
type answer struct {
	kind       packet.Kind
	status     packet.Status
	retryAfter time.Duration
	parts      [][]byte
}

// bytes returns the approximate memory of a cached answer with its table entry,
// in bytes.
func (a *answer) bytes() int {
	n := 160
	for _, b := range a.parts {
		n += len(b) + 24
	}

	return n
}

// answerKey identifies a request of a flow here (by service, flow and request
// number) or an offer of a peer (by its target, incarnation and offer number).
type answerKey struct {
	offered bool
	scope   uint64
	flow    uint64
	number  uint64
}

func (k flowKey) answerKey(number uint64) answerKey {
	return answerKey{
		scope:  k.service,
		flow:   k.flow,
		number: number,
	}
}

func (r *request) answerKey() answerKey {
	if r.origin != nil {
		return r.origin.key.answerKey()
	}

	return r.key.answerKey(r.number)
}

// requestList lists the requests in progress in the order of their receipt.
type requestList struct {
	first *request
	last  *request
	len   int
}

func (l *requestList) append(r *request) {
	r.prev = l.last
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	l.len++
}

func (l *requestList) remove(r *request) {
	if r.prev == nil {
		l.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	l.len--
}

// all returns the requests of the list. The loop may remove the request that it
// is at.
func (l *requestList) all() iter.Seq[*request] {
	return func(yield func(*request) bool) {
		for r := l.first; r != nil; {
			next := r.next
			if !yield(r) {
				return
			}
			r = next
		}
	}
}

// receiveRequest applies a caller's request to its flow.
func (c *Core) receiveRequest(f *flow, p *packet.Packet) {
	if p.Request == 0 {
		c.Counters.DroppedNumber++
		return
	}

	if f.window.check(p.Request) != unseen {
		c.Counters.Duplicates++
		c.repeatAnswer(f, p.Request)
		return
	}

	f.window.mark(p.Request)
	c.Counters.Requests++
	r := c.newRequest(f, p)
	c.retries.AddFirstAttempt(r.tenant)
	if c.inProgress.len > maxInProgress {
		c.refuse(r, retryAfterUnavailable)
		return
	}
	c.placeRequest(r)
}

// repeatAnswer answers a copy of a request, or a request below the window. The
// request is never run again.
func (c *Core) repeatAnswer(f *flow, number uint64) {
	if f.findRequest(number) != nil {
		return
	}
	c.replyAnswer(f, number, c.finalAnswer(f.key.answerKey(number)))
}

// finalAnswer returns the final answer to a request that has ended. If the
// answer is no longer cached, the outcome is unknown.
func (c *Core) finalAnswer(k answerKey) answer {
	a, ok := c.answers.get(k)
	if !ok {
		return c.refusal(packet.StatusOutcomeUnknown, 0)
	}

	return a
}

func (f *flow) findRequest(number uint64) *request {
	for r := f.requests; r != nil; r = r.sibling {
		if r.number == number {
			return r
		}
	}

	return nil
}

// newRequest copies a caller's request and adds it to the requests in progress.
func (c *Core) newRequest(f *flow, p *packet.Packet) *request {
	r := c.copyRequest(p)
	r.key = f.key
	r.flow = f
	r.sibling = f.requests
	f.requests = r
	c.inProgress.append(r)

	return r
}

func (c *Core) copyRequest(p *packet.Packet) *request {
	wait := p.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}

	return &request{
		number:     p.Request,
		address:    p.Service,
		tenant:     c.tenant(p.Tenant),
		payload:    slices.Clone(p.Payload),
		idempotent: p.Idempotent,
		received:   c.now,
		deadline:   c.now + wait,
	}
}

// remaining returns the time left until the deadline, in whole milliseconds and
// at least one, because zero means no deadline.
func (r *request) remaining(now time.Duration) time.Duration {
	return max(time.Millisecond, (r.deadline - now).Truncate(time.Millisecond))
}

func (c *Core) refusal(s packet.Status, after time.Duration) answer {
	return answer{
		kind:       packet.Refused,
		status:     s,
		retryAfter: c.retryAfter(after),
	}
}

// refuse ends a request without an answer of a target. The status is not run
// only if the request was never passed or offered, or if everyone who got it
// refused it.
func (c *Core) refuse(r *request, after time.Duration) {
	s := packet.StatusNotRun
	if r.mayHaveRun || r.state != received {
		s = packet.StatusOutcomeUnknown
	}
	c.finishRequest(r, c.refusal(s, after))
}

// finishRequest sends the final answer and caches it for copies of the request.
func (c *Core) finishRequest(r *request, a answer) {
	c.countAnswer(a)
	c.observe(r, ObserveTotal, c.now-r.received, a.status)
	c.answers.put(c.now, r.answerKey(), a, a.bytes())
	c.removeRequest(r)
	if r.origin != nil {
		c.answerOffer(r.origin, r.key.flow, r.number, a)
		return
	}
	c.replyAnswer(r.flow, r.number, a)
}

func (c *Core) countAnswer(a answer) {
	switch {
	case a.kind == packet.Answer:
		c.Counters.Answered++
	case a.status == packet.StatusNotRun:
		c.Counters.NotRun++
	case a.status == packet.StatusCancelled:
		c.Counters.Cancelled++
	default:
		c.Counters.OutcomeUnknown++
	}
}

// removeRequest removes a request from the requests in progress. One that the
// target may still run keeps its slot as abandoned.
func (c *Core) removeRequest(r *request) {
	if r.state == done || r.state == abandoned {
		return
	}
	c.inProgress.remove(r)
	c.endOffer(r)
	if r.flow != nil {
		r.flow.unlink(r)
	}
	if r.origin != nil {
		delete(c.receivedOffers, r.origin.key)
	}
	if r.state == passed {
		c.backend.passes.abandon(r)
		return
	}
	r.state = done
}

func (f *flow) unlink(r *request) {
	for p := &f.requests; *p != nil; p = &(*p).sibling {
		if *p == r {
			*p = r.sibling
			return
		}
	}
}

// replyAnswer sends all parts of an answer to the caller.
func (c *Core) replyAnswer(f *flow, number uint64, a answer) {
	for i := range max(1, len(a.parts)) {
		c.reply(f, a.packet(number, i))
	}
}

// packet returns part i of an answer.
func (a *answer) packet(number uint64, i int) packet.Packet {
	p := packet.Packet{
		Kind:       a.kind,
		Request:    number,
		Status:     a.status,
		RetryAfter: a.retryAfter,
	}
	if len(a.parts) > 0 {
		p.Part = uint32(i)
		p.Parts = uint32(len(a.parts))
		p.Payload = a.parts[i]
	}

	return p
}
