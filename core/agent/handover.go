package agent

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/packet"
)

const (
	// handoverDelay is the time until an unacknowledged handover is repeated; it
	// doubles up to handoverDelayMax.
	handoverDelay    = 100 * time.Millisecond
	handoverDelayMax = 800 * time.Millisecond
	// handoverTime is how long a peer has to acknowledge a flow.
	handoverTime = 4 * time.Second
	// handoversMax bounds the handovers in progress, handoversPerTick their rate:
	// 2,000 flows leave in less than a second.
	handoversMax     = 256
	handoversPerTick = 64
	// handoverHeldMax bounds the packets of one flow that wait for the handover.
	handoverHeldMax = 16
	// handoverRest is how long a peer that refused a flow gets no other one.
	handoverRest = time.Second
	// pauseAfter is how long a leaving flow may stay busy before new requests
	// are held until those in progress have ended; pauseTime bounds the hold. A
	// flow whose caller always has a request in progress would never leave.
	pauseAfter = time.Second
	pauseTime  = 2 * time.Second
)

// remote names one start of a peer agent.
type remote struct {
	agent       netip.AddrPort
	target      uint64
	zone        uint64
	incarnation uint64
}

func (q *peer) remote() remote {
	return remote{
		agent:       q.Agent,
		target:      q.Target,
		zone:        q.Zone,
		incarnation: q.incarnation,
	}
}

// handover is a flow on its way to a peer. Until the acknowledgement the flow
// belongs to this agent, but nothing happens to it.
type handover struct {
	flow     *flow
	to       remote
	body     []byte
	started  time.Duration
	repeatAt time.Duration
	delay    time.Duration
	held     []heldPacket
	// paused means that the flow still has requests in progress, so that
	// nothing was sent yet.
	paused bool
}

// startHandover offers a flow to a peer, at once if it is idle.
func (c *Core) startHandover(f *flow, q *peer) {
	f.state = handingOver
	o := &handover{
		flow:    f,
		to:      q.remote(),
		started: c.now,
		paused:  f.open != nil,
	}
	c.handing[f.key] = o
	c.handovers = append(c.handovers, o)
	if !o.paused {
		c.offerFlow(o)
	}
}

// offerFlow sends a flow that has no request in progress.
func (c *Core) offerFlow(o *handover) {
	o.paused = false
	o.started = c.now
	o.delay = handoverDelay
	o.flow.epoch++
	o.body = c.encodeFlow(o.flow)
	if q := c.peerOf(o.to.target); q != nil {
		q.load.Flows++
	}
	c.sendHandover(o)
}

// resumeFlow ends the pause of a flow that did not become idle.
func (c *Core) resumeFlow(o *handover) {
	c.dropHandover(o)
	c.busyFlows.put(c.now, o.flow.key, struct{}{}, 1)
	c.serveHeld(o)
}

func (c *Core) sendHandover(o *handover) {
	o.repeatAt = c.now + c.jitter(o.delay)
	o.delay = min(handoverDelayMax, 2*o.delay)
	c.sendFlow(o.to, packet.Handover, o.flow.key.service, o.body)
}

// sendFlow sends a message about a flow to a peer.
func (c *Core) sendFlow(to remote, k packet.TunnelKind, service uint64, body []byte) {
	c.send(SendTunnel{
		To: to.agent,
		Header: packet.Tunnel{
			Kind:        k,
			Service:     service,
			Target:      to.target,
			Incarnation: to.incarnation,
		},
		Body: body,
	})
}

// repeatHandovers repeats unacknowledged handovers and aborts those of peers
// that do not answer.
func (c *Core) repeatHandovers() {
	for _, o := range slices.Clone(c.handovers) {
		switch {
		case o.paused && o.flow.open == nil:
			c.offerFlow(o)
		case o.paused && c.now-o.started >= pauseTime:
			c.resumeFlow(o)
		case o.paused:
		case c.now-o.started >= handoverTime || c.view.zoneOut(o.to.zone):
			c.abort(o)
		case c.now >= o.repeatAt:
			c.sendHandover(o)
		}
	}
}

// abortHandovers aborts the handovers to an earlier start of a peer.
func (c *Core) abortHandovers(agent netip.AddrPort, incarnation uint64) {
	for _, o := range slices.Clone(c.handovers) {
		if o.to.agent == agent && o.to.incarnation == incarnation {
			c.abort(o)
		}
	}
}

// abort keeps a flow here. The peer may hold a copy, but no caller has a token
// for it, and a later acknowledgement of this epoch is ignored.
func (c *Core) abort(o *handover) {
	c.Counters.HandoversAborted++
	if q := c.peerOf(o.to.target); q != nil {
		q.restUntil = c.now + handoverRest
	}
	c.dropHandover(o)
	c.serveHeld(o)
}

// serveHeld applies the held packets of a flow that stays.
func (c *Core) serveHeld(o *handover) {
	o.flow.state = active
	for i := range o.held {
		m := o.held[i].aged(c.now)
		if c.flows.get(o.flow.key) == nil {
			return
		}
		c.serve(o.flow, &m.Header, &m.Packet)
	}
}

func (c *Core) dropHandover(o *handover) {
	delete(c.handing, o.flow.key)
	i := slices.Index(c.handovers, o)
	c.handovers = slices.Delete(c.handovers, i, i+1)
}

// abandon ends the handover of a flow that ends.
func (c *Core) abandon(f *flow) {
	if o := c.handing[f.key]; o != nil {
		c.dropHandover(o)
	}
}

// holdForHandover keeps a packet until it is known who owns the flow. Callers
// repeat what does not fit.
func (c *Core) holdForHandover(f *flow, h *packet.Tunnel, p *packet.Packet) {
	o := c.handing[f.key]
	if len(o.held) >= handoverHeldMax {
		return
	}
	m := FromTunnel{
		Header: *h,
		Packet: *p,
	}
	o.held = append(o.held, heldPacket{
		message: m.clone(),
		at:      c.now,
	})
}

// handoverAcked commits or aborts a handover. Acknowledgements of other epochs
// or of other starts of the peer mean nothing.
func (c *Core) handoverAcked(h *packet.Tunnel, body []byte) {
	a, err := decodeAck(body)
	if err != nil {
		c.Counters.DroppedBody++
		return
	}
	o := c.handing[flowKey{
		service: h.Service,
		flow:    a.flow,
	}]
	if !c.meant(h) || o == nil || o.paused || a.epoch != o.flow.epoch ||
		h.Sender != o.to.agent || h.SenderIncarnation != o.to.incarnation {
		return
	}
	if !a.accepted {
		c.abort(o)
		return
	}
	c.commit(o)
}

// commit gives a flow away. From here on its packets are passed on, and the
// caller is told the new token.
func (c *Core) commit(o *handover) {
	f := o.flow
	c.Counters.FlowsHandedOver++
	c.dropHandover(o)
	c.flows.remove(f)
	w := &forward{
		key:     f.key,
		to:      o.to,
		entry:   f.entry,
		caller:  f.caller,
		address: f.address,
		epoch:   f.epoch,
		unused:  f.unused,
		delay:   movedDelay,
	}
	w.until = c.now + c.options.IdleTimeout
	c.forwards.add(w)
	for i := range o.held {
		m := o.held[i].aged(c.now)
		c.forward(w, &m.Header, &m.Packet)
	}
	c.announce(w)
}
