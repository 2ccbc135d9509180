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
const leastRetry = 20 * time.Millisecond

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
		wait := max(leastRetry, o.retryAfter)
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
		f.stats.answered(time.Since(due))
	case o.status == packet.StatusNotRun && o.kind != packet.Reset:
		return false
	case o.kind == 0:
		f.stats.count(func(c *Counts) { c.NoAnswer++ })
		f.noteSilence()
	case o.kind == packet.Reset && o.status != packet.StatusOutcomeUnknown:
		f.stats.count(func(c *Counts) { c.Ended++ })
	default:
		f.stats.count(func(c *Counts) { c.Unknown++ })
	}

	return true
}

func (f *flow) noteSilence() {
	f.mu.Lock()
	over := time.Since(f.heard) > silentTime
	f.mu.Unlock()

	if over {
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
func (f *flow) begin() (uint64, chan packet.Packet) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.next++
	c := make(chan packet.Packet, 2*packet.MaxParts)
	f.waiting[f.next] = c

	return f.next, c
}

func (f *flow) forget(request uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	delete(f.waiting, request)
}

// call sends one request number, with retransmissions, until it is answered.
func (f *flow) call(ctx context.Context, a Arrival, end time.Time) outcome {
	request, c := f.begin()
	defer f.forget(request)

	parts := &collector{
		want: echo.Answer{
			Service: f.service(),
			Flow:    f.id,
			Request: request,
		},
		stats: f.stats,
	}
	limit := time.NewTimer(time.Until(end))
	defer limit.Stop()
	for attempt := uint32(0); ; attempt++ {
		f.sendRequest(request, attempt, a, end)
		repeat := time.NewTimer(repeatAfter(attempt))
		o, over := f.await(ctx, c, repeat.C, limit.C, parts)
		repeat.Stop()
		if over {
			return o
		}
		f.stats.count(func(c *Counts) { c.Repeats++ })
	}
}

func (f *flow) sendRequest(request uint64, attempt uint32, a Arrival, end time.Time) {
	ask := echo.Ask{
		Service: f.service(),
		Parts:   a.Parts,
		Bytes:   a.Bytes,
	}
	p := f.packet(packet.Request)
	p.Request = request
	p.Attempt = attempt
	p.Idempotent = a.Idempotent
	p.Deadline = max(time.Millisecond, time.Until(end))
	p.Payload = ask.Append(nil)
	f.socket.send(&p)
}

// await takes packets until the request is over or has to be repeated.
func (f *flow) await(ctx context.Context, c <-chan packet.Packet, repeat, limit <-chan time.Time, parts *collector) (outcome, bool) {
	for {
		select {
		case p := <-c:
			if o, over := f.take(&p, parts); over {
				return o, true
			}
		case <-repeat:
			return outcome{}, false
		case <-limit:
			return outcome{}, true
		case <-ctx.Done():
			return outcome{
				kind: packet.Reset,
			}, true
		case <-f.ended:
			return f.last(c), true
		}
	}
}

// last returns the outcome of a request whose flow ended: what the final
// packet says, if there is one.
func (f *flow) last(c <-chan packet.Packet) outcome {
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

func (f *flow) take(p *packet.Packet, parts *collector) (outcome, bool) {
	o := outcome{
		kind:       p.Kind,
		status:     p.Status,
		retryAfter: p.RetryAfter,
	}
	if p.Kind == packet.Refused && p.Status == packet.StatusNotRun {
		f.stats.refusal(target.Run{
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
type collector struct {
	want  echo.Answer
	stats *Stats
	got   [packet.MaxParts]bool
	count int
}

// add takes one part and reports whether the answer is whole.
func (c *collector) add(p *packet.Packet) bool {
	parts := max(1, p.Parts)
	c.want.Part = uint8(p.Part)
	c.want.Parts = uint8(parts)
	if err := c.want.Check(p.Payload); err != nil {
		c.stats.count(func(n *Counts) {
			if errors.Is(err, echo.ErrWrongService) {
				n.WrongService++
			} else {
				n.WrongAnswers++
			}
		})

		return false
	}
	if !c.got[p.Part] {
		c.got[p.Part] = true
		c.count++
	}

	return c.count == int(parts)
}
