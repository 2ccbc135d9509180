package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

const (
	// retryAfterUnavailable is the RetryAfter of an agent that can't serve at
	// all: within this time a ticket reaches every entry.
	retryAfterUnavailable = time.Second
	// minRetryAfter and maxRetryAfter bound RetryAfter before jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// reply sends a packet to the flow's caller through the entry that delivered
// the flow's last packet, with a new token. A Reset carries the token too: a
// caller whose Open reached two agents must be able to tell which copy has
// ended.
func (c *Core) reply(f *flow, p packet.Packet) {
	p.Flow = f.key.flow
	p.Service = f.address
	if p.Kind != packet.Closed {
		p.Token = c.ownToken(f.key.service, f.key.flow)
	}
	c.send(SendTunnel{
		To: f.entry,
		Header: packet.Tunnel{
			Kind:    packet.ToEntry,
			Service: f.key.service,
			Entry:   f.entry,
			Caller:  f.caller,
		},
		Packet: p,
	})
}

// replyTo answers a packet whose flow is not here.
func (c *Core) replyTo(h *packet.Tunnel, p packet.Packet) {
	c.send(SendTunnel{
		To: h.Entry,
		Header: packet.Tunnel{
			Kind:    packet.ToEntry,
			Service: h.Service,
			Entry:   h.Entry,
			Caller:  h.Caller,
		},
		Packet: p,
	})
}

// reset tells the caller that its flow is not here. It repeats the caller's
// token, so that a caller that has a newer one ignores it. The outcome of a
// request is unknown, because another start of the agent may have run it.
func (c *Core) reset(h *packet.Tunnel, p *packet.Packet) {
	if p.Kind == packet.Open {
		// A copy of Open has no token, so a reset would also end a flow that
		// another agent opened.
		c.refuseOpen(h, p, minRetryAfter)
		return
	}

	if h.Kind == packet.ToOwner {
		// The flow ended here and not at the previous owner that the caller knows.
		c.resetWithToken(h, p, c.ownToken(h.Service, p.Flow))
		return
	}
	c.sendReset(h, p, p.Token)
}

// resetWithToken ends a flow under a token that the caller may not know yet, so
// it sends the token first. The token shows the caller in which zone the flow
// ended.
func (c *Core) resetWithToken(h *packet.Tunnel, p *packet.Packet, t packet.Token) {
	c.replyTo(h, packet.Packet{
		Kind:    packet.Moved,
		Service: p.Service,
		Flow:    p.Flow,
		Token:   t,
	})
	c.sendReset(h, p, t)
}

func (c *Core) sendReset(h *packet.Tunnel, p *packet.Packet, t packet.Token) {
	c.Counters.Resets++
	s := packet.StatusNotRun
	if p.Kind == packet.Request {
		s = packet.StatusOutcomeUnknown
	}
	c.replyTo(h, packet.Packet{
		Kind:       packet.Reset,
		Service:    p.Service,
		Flow:       p.Flow,
		Token:      t,
		Request:    p.Request,
		Status:     s,
		RetryAfter: minRetryAfter,
	})
}

// retryAfter bounds an estimate and adds up to a quarter at random, so that
// callers that were refused together don't retry together.
func (c *Core) retryAfter(d time.Duration) time.Duration {
	d = max(minRetryAfter, min(maxRetryAfter, d))

	return c.jitter(d)
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.rand.Int64N(int64(d)/4+1))
}
