package callers

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/packet"
	"ibisfold.example/ibisfold-standin/echo"
	"ibisfold.example/ibisfold-standin/target"
)

// leastRetry is the shortest time before a refused request is tried again.
const minRetryTime = 20 * time.Millisecond

// outcome is how one request number ended.
type outcome struct {
	kind       packet.Kind
	status     packet.Status
	retryAfter time.Duration
}

// do runs one arrival: it repeats refused requests under new numbers until
// the deadline. due is the time at which the open-loop load called for it.
func (f *flow) do(ctx context.Context, a Arrival, due time.Time) {
	end := due.Add(f.load.deadline())
	f.stats.count(func(c *Counts) { c.Requests++ })
	for {
		o := f.call(ctx, a, end)
		if f.finish(o, due) {
			return
		}
		wait := max(minRetryTime, o.retryAfter)
		if time.Now().Add(wait).After(end) || !sleep(ctx, wait) {
			f.stats.count(func(c *Counts) { c.NotRun++ })
			return
		}
	}
}

// finish counts an outcome and reports whether the request is over.
func (f *flow) finish(o outcome, due time.Time) bool {
	switch {
	case o.kind == packet.Answer && o.status == packet.StatusOK:
		f.stats.addAnswer(time.Since(due))
	case o.status == packet.StatusNotRun && o.kind != packet.Reset:
		return false
	case o.kind == 0:
		f.stats.count(func(c *Counts) { c.NoAnswer++ })
		f.checkSilence()
	case o.kind == packet.Reset && o.status != packet.StatusOutcomeUnknown:
		f.stats.count(func(c *Counts) { c.Ended++ })
	default:
		f.stats.count(func(c *Counts) { c.Unknown++ })
	}

	return true
}

func (f *flow) checkSilence() {
	f.mu.Lock()
	silent := time.Since(f.lastReceived) > silenceTimeout
	f.mu.Unlock()

	if silent {
		f.endSilent()
	}
}

func (l *Load) deadline() time.Duration {
	if l.Deadline == 0 {
		return DefaultDeadline
	}

	return l.Deadline
}

// begin takes a new request number.
func (f *flow) addRequest() (uint64, chan packet.Packet) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.lastRequest++
	c := make(chan packet.Packet, 2*packet.MaxParts)
	f.pending[f.lastRequest] = c

	return f.lastRequest, c
}

func (f *flow) removeRequest(request uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	delete(f.pending, request)
}

// call sends one request number, with retransmissions, until it is answered.
func (f *flow) call(ctx context.Context, a Arrival, end time.Time) outcome {
	request, c := f.addRequest()
	defer f.removeRequest(request)

	parts := &reassembly{
		expected: echo.Answer{
			Service: f.serviceID(),
			Flow:    f.id,
			Request: request,
		},
		stats: f.stats,
	}
	limit := time.NewTimer(time.Until(end))
	defer limit.Stop()
	for attempt := uint32(0); ; attempt++ {
		f.sendRequest(request, attempt, a, end)
		retransmit := time.NewTimer(retransmitTime(attempt))
		o, done := f.await(ctx, c, retransmit.C, limit.C, parts)
		retransmit.Stop()
		if done {
			return o
		}
		f.stats.count(func(c *Counts) { c.Repeats++ })
	}
}

func (f *flow) sendRequest(request uint64, attempt uint32, a Arrival, end time.Time) {
	payload := echo.Request{
		Service: f.serviceID(),
		Parts:   a.Parts,
		Bytes:   a.Bytes,
	}
	p := f.packet(packet.Request)
	p.Request = request
	p.Attempt = attempt
	p.Idempotent = a.Idempotent
	p.Deadline = max(time.Millisecond, time.Until(end))
	p.Payload = payload.Append(nil)
	f.socket.send(&p)
}

// await takes packets until the request is over or has to be repeated.
func (f *flow) await(ctx context.Context, c <-chan packet.Packet, retransmit, limit <-chan time.Time, parts *reassembly) (outcome, bool) {
	for {
		select {
		case p := <-c:
			if o, done := f.handleReply(&p, parts); done {
				return o, true
			}
		case <-retransmit:
			return outcome{}, false
		case <-limit:
			return outcome{}, true
		case <-ctx.Done():
			return outcome{
				kind: packet.Reset,
			}, true
		case <-f.ended:
			return f.finalOutcome(c), true
		}
	}
}

// last returns the outcome of a request whose flow ended: what the final
// packet says, if there is one.
func (f *flow) finalOutcome(c <-chan packet.Packet) outcome {
	o := outcome{
		kind: packet.Reset,
	}
	select {
	case p := <-c:
		o.status = p.Status
	default:
	}

	return o
}

func (f *flow) handleReply(p *packet.Packet, parts *reassembly) (outcome, bool) {
	o := outcome{
		kind:       p.Kind,
		status:     p.Status,
		retryAfter: p.RetryAfter,
	}
	if p.Kind == packet.Refused && p.Status == packet.StatusNotRun {
		f.stats.addRefusal(target.Run{
			Flow:    f.id,
			Request: p.Request,
		})
	}
	if p.Kind == packet.Answer && p.Status == packet.StatusOK {
		return o, parts.add(p)
	}

	return o, true
}

// collector puts the parts of an answer together.
type reassembly struct {
	expected echo.Answer
	stats    *Stats
	received [packet.MaxParts]bool
	count    int
}

// add takes one part and reports whether the answer is whole.
func (c *reassembly) add(p *packet.Packet) bool {
	parts := max(1, p.Parts)
	c.expected.Part = uint8(p.Part)
	c.expected.Parts = uint8(parts)
	if err := c.expected.Check(p.Payload); err != nil {
		c.stats.count(func(n *Counts) {
			if errors.Is(err, echo.ErrWrongService) {
				n.WrongService++
			} else {
				n.WrongAnswers++
			}
		})

		return false
	}
	if !c.received[p.Part] {
		c.received[p.Part] = true
		c.count++
	}

	return c.count == int(parts)
}
