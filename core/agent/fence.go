package agent

import "ibisfold.example/core/packet"

// confirmed reports whether the lease on the view is valid.
func (c *Core) confirmed() bool {
	return c.view != nil && c.now <= c.view.ConfirmedUntil
}

// inService reports whether the agent's target exists and its zone is in
// service.
func (c *Core) inService() bool {
	return c.view != nil && c.view.Known && c.view.ZoneInService
}

// acceptsWork reports whether the agent's target may get new flows and requests
// of the current service.
func (c *Core) acceptsWork() bool {
	return c.inService() && !c.leaving()
}

// leaving reports whether the target is draining, the agent is stopping or
// there is no view yet.
func (c *Core) leaving() bool {
	return c.drain.stopping || c.view == nil || c.view.Draining
}

// serves reports whether flows of a service may be here: it is the target's
// current service or one that it has left.
func (c *Core) serves(service uint64) bool {
	return c.groupOf(service) != nil
}

// fromTunnel applies a packet from an entry or a peer. Kinds that need a
// confirmed view are held while the view is unconfirmed.
func (c *Core) fromTunnel(m *FromTunnel) {
	if c.view != nil && !c.confirmed() && needsConfirmedView(m.Header.Kind) {
		c.holdPacket(m)
		return
	}

	c.dispatch(m)
}

func needsConfirmedView(k packet.TunnelKind) bool {
	switch k {
	case packet.ToAgent, packet.ToOwner, packet.Offer, packet.Handover:
		return true
	default:
		return false
	}
}

func (c *Core) dispatch(m *FromTunnel) {
	h := &m.Header
	switch h.Kind {
	case packet.ToAgent:
		c.entries.add(h.Entry)
		c.toAgent(h, &m.Packet)
	case packet.ToOwner:
		c.toOwner(h, &m.Packet)
	case packet.Offer:
		c.receiveOffer(h, &m.Packet)
	case packet.OfferAnswer:
		c.offerAnswered(h, &m.Packet)
	case packet.OfferCancel:
		c.offerCancelled(h, &m.Packet)
	case packet.Handover:
		c.receiveHandover(h, m.Body)
	case packet.HandoverAck:
		c.handoverAcked(h, m.Body)
	case packet.HandoverCommit:
		c.handoverCommitted(h, m.Body)
	case packet.HandoverNext:
		c.handoverNext(h, m.Body)
	case packet.HandoverDone:
		c.handoverDone(h, m.Body)
	case packet.Heartbeat:
		c.receiveHeartbeat(h, m.Body)
	default:
		c.Counters.DroppedKind++
	}
}

// addressedHere reports whether a header names this target and this start of
// its agent. A header without an incarnation matches every start.
func (c *Core) addressedHere(h *packet.Tunnel) bool {
	return h.Target == c.target && (h.Incarnation == 0 || h.Incarnation == c.options.Incarnation)
}

// toAgent applies a caller's packet that an entry delivered.
func (c *Core) toAgent(h *packet.Tunnel, p *packet.Packet) {
	if !c.addressedHere(h) {
		c.Counters.DroppedFence++
		c.reset(h, p)
		return
	}
	if p.Kind == packet.Open {
		c.openFlow(h, p)
		return
	}
	if !p.Token.Verify(c.options.Keys, p.Flow) {
		c.Counters.DroppedToken++
		return
	}

	t := &p.Token
	if t.Target != c.target || t.Incarnation != c.options.Incarnation || t.Service != h.Service {
		c.Counters.DroppedFence++
		c.reset(h, p)
		return
	}
	c.toFlow(h, p)
}

// toOwner applies a caller's packet that the flow's previous owner forwarded.
// Its token names that owner; the header names this start of the agent.
func (c *Core) toOwner(h *packet.Tunnel, p *packet.Packet) {
	if !c.addressedHere(h) || h.Incarnation == 0 {
		c.Counters.DroppedFence++
		c.reset(h, p)
		return
	}
	if p.Kind == packet.Open {
		return
	}
	if !p.Token.Verify(c.options.Keys, p.Flow) || p.Token.Service != h.Service {
		c.Counters.DroppedToken++
		return
	}
	c.toFlow(h, p)
}

// toFlow applies a verified packet to its flow, or forwards it to the flow's
// new owner, or answers that the flow has ended.
func (c *Core) toFlow(h *packet.Tunnel, p *packet.Packet) {
	k := flowKey{
		service: h.Service,
		flow:    p.Flow,
	}
	if f := c.flows.get(k); f != nil {
		c.servePacket(f, h, p)
		return
	}
	if w, ok := c.forwards.get(k); ok {
		c.forward(w, h, p)
		return
	}
	if e, ok := c.closed.get(k); p.Kind == packet.Close || ok && e == endedByCaller && p.Kind == packet.KeepAlive {
		c.replyTo(h, packet.Packet{
			Kind:    packet.Closed,
			Service: p.Service,
			Flow:    p.Flow,
		})
		return
	}
	c.reset(h, p)
}

// servePacket applies a packet to a flow that is here, or holds it while the
// flow is being handed over.
func (c *Core) servePacket(f *flow, h *packet.Tunnel, p *packet.Packet) {
	if f.state == handingOver {
		c.holdForHandover(f, h, p)
		return
	}

	c.activateFlow(f, h)
	c.flows.markUsed(c.now, f)
	f.entry = h.Entry
	f.caller = h.Caller
	if p.Service.IsValid() {
		f.address = p.Service
	}

	switch p.Kind {
	case packet.Request:
		c.receiveRequest(f, p)
	case packet.Cancel:
		c.handleCancel(f, p)
	case packet.KeepAlive:
		c.reply(f, packet.Packet{
			Kind: packet.KeepAlive,
		})
	case packet.Close:
		c.close(f)
	default:
		c.Counters.DroppedKind++
	}
}

// close ends a flow at its caller's request.
func (c *Core) close(f *flow) {
	c.dropRequests(f)
	c.reply(f, packet.Packet{
		Kind: packet.Closed,
	})
	c.Counters.FlowsClosed++
	c.removeFlow(f)
	c.closed.put(c.now, f.key, endedByCaller, 1)
}
