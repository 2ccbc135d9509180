package agent

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/packet"
)

const (
	// handoverRetryDelay is the time until an unacknowledged handover is
	// repeated; it doubles up to maxHandoverRetryDelay.
	handoverRetryDelay    = 100 * time.Millisecond
	maxHandoverRetryDelay = 800 * time.Millisecond
	// handoverTimeout is how long a peer has to acknowledge a flow.
	handoverTimeout = 4 * time.Second
	// maxHandovers bounds the handovers in progress, maxHandoversPerTick those
	// started per tick: 2,000 flows leave in less than a second.
	maxHandovers        = 256
	maxHandoversPerTick = 64
	// maxHeldPerHandover bounds the packets of one flow that wait for the handover.
	maxHeldPerHandover = 16
	// handoverBackoff is how long a peer gets no flows after an aborted handover.
	handoverBackoff = time.Second
	// pauseAfter is how long a leaving flow may stay busy before new requests are
	// held until those in progress have ended; maxPauseTime bounds the hold.
	// Without this pause, a flow whose caller always has a request in progress
	// would never leave.
	pauseAfter   = time.Second
	maxPauseTime = 2 * time.Second
)

// handover is a flow that is being handed over to a peer. Until the
// acknowledgement this agent owns the flow but does not serve it: its packets
// are held.
type handover struct {
	flow     *flow
	to       peerInstance
	body     []byte
	started  time.Duration
	repeatAt time.Duration
	delay    time.Duration
	held     []heldPacket
	// paused means that the flow still has requests in progress, so that no
	// Handover has been sent yet.
	paused bool
}

// startHandover starts to hand a flow over to a peer. Handover is sent at once
// if the flow is idle.
func (c *Core) startHandover(f *flow, q *peer) {
	f.state = handingOver
	o := &handover{
		flow:    f,
		to:      q.peerInstance(),
		started: c.now,
		paused:  f.requests != nil,
	}
	c.handoversByFlow[f.key] = o
	c.handovers = append(c.handovers, o)
	if !o.paused {
		c.sendFirstHandover(o)
	}
}

// sendFirstHandover sends Handover for a flow that has no request in progress.
func (c *Core) sendFirstHandover(o *handover) {
	o.paused = false
	o.started = c.now
	o.delay = handoverRetryDelay
	o.flow.epoch++
	o.body = c.encodeFlow(o.flow)
	if q := c.peerOf(o.to.target); q != nil {
		q.load.Flows++
	}
	c.sendHandover(o)
}

// endPause ends the pause of a flow that did not become idle.
func (c *Core) endPause(o *handover) {
	c.dropHandover(o)
	c.busyFlows.put(c.now, o.flow.key, struct{}{}, 1)
	c.serveHeldPackets(o)
}

func (c *Core) sendHandover(o *handover) {
	o.repeatAt = c.now + c.jitter(o.delay)
	o.delay = min(maxHandoverRetryDelay, 2*o.delay)
	c.sendBody(o.to, packet.Handover, o.flow.key.service, o.body)
}

// repeatHandovers repeats unacknowledged handovers, aborts those of peers that
// do not answer, and ends pauses.
func (c *Core) repeatHandovers() {
	for _, o := range slices.Clone(c.handovers) {
		switch {
		case o.paused && o.flow.requests == nil:
			c.sendFirstHandover(o)
		case o.paused && c.now-o.started >= maxPauseTime:
			c.endPause(o)
		case o.paused:
		case c.now-o.started >= handoverTimeout || c.view.zoneOut(o.to.zone):
			c.abortHandover(o)
		case c.now >= o.repeatAt:
			c.sendHandover(o)
		}
	}
}

// abortHandovers aborts the handovers to an earlier start of a peer.
func (c *Core) abortHandovers(agent netip.AddrPort, incarnation uint64) {
	for _, o := range slices.Clone(c.handovers) {
		if o.to.agent == agent && o.to.incarnation == incarnation {
			c.abortHandover(o)
		}
	}
}

// abortHandover keeps the flow here. The peer may hold a copy, but no caller
// has a token for it, and a later acknowledgement of this epoch is ignored.
func (c *Core) abortHandover(o *handover) {
	c.Counters.HandoversAborted++
	if q := c.peerOf(o.to.target); q != nil {
		q.backoffUntil = c.now + handoverBackoff
	}
	c.dropHandover(o)
	c.serveHeldPackets(o)
}

// serveHeldPackets applies the held packets of a flow that stays.
func (c *Core) serveHeldPackets(o *handover) {
	o.flow.state = active
	for i := range o.held {
		m := o.held[i].withRemainingDeadline(c.now)
		if c.flows.get(o.flow.key) == nil {
			return
		}
		c.servePacket(o.flow, &m.Header, &m.Packet)
	}
}

func (c *Core) dropHandover(o *handover) {
	delete(c.handoversByFlow, o.flow.key)
	i := slices.Index(c.handovers, o)
	c.handovers = slices.Delete(c.handovers, i, i+1)
}

// cancelHandover drops the handover of a flow that ends, if there is one.
func (c *Core) cancelHandover(f *flow) {
	if o := c.handoversByFlow[f.key]; o != nil {
		c.dropHandover(o)
	}
}

// holdForHandover holds a packet until the handover is committed or aborted.
// Packets beyond the bound are dropped; callers repeat them.
func (c *Core) holdForHandover(f *flow, h *packet.Tunnel, p *packet.Packet) {
	o := c.handoversByFlow[f.key]
	if len(o.held) >= maxHeldPerHandover {
		return
	}
	m := FromTunnel{
		Header: *h,
		Packet: *p,
	}
	o.held = append(o.held, heldPacket{
		message: m.clone(),
		heldAt:  c.now,
	})
}

// handoverAcked commits or aborts a handover. Acknowledgements of another epoch
// or from another start of the peer are ignored.
func (c *Core) handoverAcked(h *packet.Tunnel, body []byte) {
	k, a, ok := c.receiveAck(h, body)
	if !ok {
		return
	}
	o := c.handoversByFlow[k]
	if o == nil || o.paused || a.epoch != o.flow.epoch ||
		h.Sender != o.to.agent || h.SenderIncarnation != o.to.incarnation {
		return
	}
	if !a.accepted {
		c.abortHandover(o)
		return
	}
	c.commitHandover(o)
}

// commitHandover gives a flow to the peer. From here on its packets are
// forwarded, and the caller is sent the new token.
func (c *Core) commitHandover(o *handover) {
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
		delay:   movedRetryDelay,
	}
	w.expiresAt = c.now + c.options.IdleTimeout
	c.forwards.add(w)
	for i := range o.held {
		m := o.held[i].withRemainingDeadline(c.now)
		c.forward(w, &m.Header, &m.Packet)
	}
	c.announceOwner(w)
}
