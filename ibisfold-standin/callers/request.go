package callers

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/packet"
	"ibisfold.example/ibisfold-standin/echo"
	"ibisfold.example/ibisfold-standin/target"
)

// minRetryTime is the minimum wait before a refused Open or request is retried, before jitter.
const minRetryTime = 20 * time.Millisecond

// outcome is the result of one request number. Its kind is 0 if the deadline is over.
type outcome struct {
	kind       packet.Kind
	status     packet.Status
	retryAfter time.Duration
}

// handleArrival sends the request of one arrival and retries it under a new number after each
// refusal, until the deadline. due is the time at which the request should be sent.
func (f *flow) handleArrival(ctx context.Context, a Arrival, due time.Time) {
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

// finish counts an outcome. It returns false if the request was refused and can be retried.
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

// checkSilence ends the flow if nothing was received for silenceTimeout.
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

// addRequest returns a new request number and the channel for its replies.
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

// call sends a request under one number, with retransmissions, until it has an outcome.
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
	payload := echo.RequestPayload{
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

// await handles replies until the request has an outcome. It returns false if the request must be
// retransmitted first.
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

// finalOutcome returns the outcome of a request whose flow ended, with the status of the packet
// that ended it, if there is one.
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

// handleReply counts refusals and reports whether the reply ends the request.
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

// reassembly verifies the parts of an answer and records which have arrived.
type reassembly struct {
	expected echo.Answer
	stats    *Stats
	received [packet.MaxParts]bool
	count    int
}

// add adds a part and reports whether the answer is complete.
func (r *reassembly) add(p *packet.Packet) bool {
	parts := max(1, p.Parts)
	r.expected.Part = uint8(p.Part)
	r.expected.Parts = uint8(parts)
	if err := r.expected.Check(p.Payload); err != nil {
		r.stats.count(func(c *Counts) {
			if errors.Is(err, echo.ErrWrongService) {
				c.WrongService++
			} else {
				c.WrongAnswers++
			}
		})

		return false
	}
	if !r.received[p.Part] {
		r.received[p.Part] = true
		r.count++
	}

	return r.count == int(parts)
}
