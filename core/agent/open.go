package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

// maxHops bounds how often the Open of a new flow or an offered request is
// passed on to another agent.
const maxHops = 2

// openFlow answers Open: it opens the flow here, forwards the Open to a peer or
// refuses it. It runs no request.
func (c *Core) openFlow(h *packet.Tunnel, p *packet.Packet) {
	k := flowKey{
		service: h.Service,
		flow:    p.Flow,
	}
	if f := c.flows.get(k); f != nil {
		c.replyOpened(f, h, p)
		return
	}
	if w, ok := c.forwards.get(k); ok {
		c.replyOpenedElsewhere(w, h, p)
		return
	}
	if _, ok := c.closed.get(k); ok {
		c.reset(h, p)
		return
	}
	if q := c.pickFlowPeer(h, k); q != nil {
		c.forwardOpen(q, h, p, k)
		return
	}
	if !c.canAdmitFlow(h) {
		c.refuseOpen(h, p, retryAfterUnavailable)
		return
	}
	c.admitFlow(h, p, k)
}

func (c *Core) canAdmitFlow(h *packet.Tunnel) bool {
	return c.acceptsWork() && h.Service == c.view.Service && c.hasRoom()
}

func (c *Core) hasRoom() bool {
	return c.flows.len() < c.view.Connections || c.evictable() != nil
}

func (c *Core) admitFlow(h *packet.Tunnel, p *packet.Packet, k flowKey) {
	if c.flows.len() >= c.view.Connections {
		c.expireFlow(c.evictable())
	}
	f := &flow{
		key:      k,
		entry:    h.Entry,
		caller:   h.Caller,
		address:  p.Service,
		lastUsed: c.now,
	}
	c.flows.add(f)
	c.Counters.FlowsOpened++
	c.replyOpened(f, h, p)
}

// replyOpened answers Open of a flow that is here, repeated copies included.
// Each answer restarts halfOpenTime. A flow in use keeps its entry and caller
// address, because the copy may be an old one.
func (c *Core) replyOpened(f *flow, h *packet.Tunnel, p *packet.Packet) {
	if f.state == adopted || f.state == handingOver {
		return
	}
	if f.state == halfOpen {
		c.flows.renew(c.now, f)
		f.entry = h.Entry
		f.caller = h.Caller
	}
	c.reply(f, packet.Packet{
		Kind:    packet.Opened,
		Attempt: p.Attempt,
	})
}

// replyOpenedElsewhere answers a late copy of Open with the token of the flow's
// new owner.
func (c *Core) replyOpenedElsewhere(w *forward, h *packet.Tunnel, p *packet.Packet) {
	c.replyTo(h, packet.Packet{
		Kind:    packet.Opened,
		Service: p.Service,
		Flow:    p.Flow,
		Attempt: p.Attempt,
		Token:   c.ownerToken(w.to, w.key),
	})
}

// pickFlowPeer returns the peer that should own a new flow, or nil if this
// agent should. Copies of the same Open go to the same peer.
func (c *Core) pickFlowPeer(h *packet.Tunnel, k flowKey) *peer {
	g := c.groupOf(h.Service)
	if g == nil || h.Hops >= maxHops {
		return nil
	}
	if t, ok := c.forwardedOpens.get(k); ok {
		if q := g.peer(t); q != nil && q.usable() {
			return q
		}
	}

	own := c.Load()
	own.Draining = !c.canAdmitFlow(h)
	loads := c.candidates.collect(g, func(q *peer) bool {
		return q.usable() && q.Agent != h.Sender
	})
	for i, q := range c.candidates.peers {
		// Entries spread new flows evenly, so a peer has got about as many as
		// this agent since its report. Without this correction the peer with the
		// oldest report attracted 940 flows of 2,500 that opened within a second.
		loads[i].Flows += max(0, own.Flows-q.ownFlowsAtReport)
	}
	i := c.balance.PickFlow(own, loads, c.rand)
	if i < 0 {
		return nil
	}

	return c.candidates.peers[i]
}

func (c *Core) forwardOpen(q *peer, h *packet.Tunnel, p *packet.Packet, k flowKey) {
	c.Counters.FlowsPassed++
	c.forwardedOpens.put(c.now, k, q.Target, 1)
	q.load.Flows++
	o := *h
	o.Hops++
	o.Target = q.Target
	o.Incarnation = q.incarnation
	c.send(SendTunnel{
		To:     q.Agent,
		Header: o,
		Packet: *p,
	})
}

func (c *Core) refuseOpen(h *packet.Tunnel, p *packet.Packet, after time.Duration) {
	c.Counters.FlowsRefused++
	c.replyTo(h, packet.Packet{
		Kind:       packet.Refused,
		Service:    p.Service,
		Flow:       p.Flow,
		Attempt:    p.Attempt,
		Status:     packet.StatusNotRun,
		RetryAfter: c.retryAfter(after),
	})
}
