package agent

import (
	"slices"
	"time"

	"ibisfold.example/core/packet"
)

const (
	// maxHeldPackets bounds the packets that are held until the view is
	// confirmed.
	maxHeldPackets = 512
	// maxHoldTime bounds how long a packet is held. It is above the 5 s without
	// an answer from any peer after which the mesh confirms the last view by
	// itself.
	maxHoldTime = 6 * time.Second
)

type heldPacket struct {
	message FromTunnel
	heldAt  time.Duration
	// until is when a packet in the holdQueue is refused. It is not used for
	// packets that are held for a handover.
	until time.Duration
}

// holdQueue keeps packets that arrived while the view was unconfirmed.
type holdQueue struct {
	packets []heldPacket
}

// holdPacket keeps a copy of a packet until the view is confirmed.
func (c *Core) holdPacket(m *FromTunnel) {
	if len(c.hold.packets) >= maxHeldPackets {
		c.refuseHeld(m)
		return
	}

	c.Counters.Held++
	wait := maxHoldTime
	if d := m.Packet.Deadline; d > 0 {
		wait = min(wait, d)
	}
	c.hold.packets = append(c.hold.packets, heldPacket{
		message: m.clone(),
		heldAt:  c.now,
		until:   c.now + wait,
	})
}

func (m *FromTunnel) clone() FromTunnel {
	o := *m
	o.Packet.Tenant = slices.Clone(m.Packet.Tenant)
	o.Packet.Payload = slices.Clone(m.Packet.Payload)
	o.Body = slices.Clone(m.Body)

	return o
}

// releaseHeld applies the held packets in the order of their arrival.
func (c *Core) releaseHeld() {
	held := c.hold.packets
	c.hold.packets = nil
	for i := range held {
		c.dispatch(held[i].withRemainingDeadline(c.now))
	}
}

// withRemainingDeadline returns the message with its deadline reduced by the
// time for which it was held.
func (o *heldPacket) withRemainingDeadline(now time.Duration) *FromTunnel {
	m := &o.message
	if m.Packet.Deadline > 0 {
		m.Packet.Deadline = max(time.Millisecond, m.Packet.Deadline-(now-o.heldAt))
	}

	return m
}

// expireHeld refuses packets that were held too long.
func (c *Core) expireHeld() {
	n := 0
	for _, o := range c.hold.packets {
		if o.until > c.now {
			c.hold.packets[n] = o
			n++
			continue
		}
		c.refuseHeld(&o.message)
	}
	clear(c.hold.packets[n:])
	c.hold.packets = c.hold.packets[:n]
}

// refuseHeld refuses a packet that can't be held. A request is refused only if
// its flow is here and no other copy of it was received: then it certainly has
// not run, and recording its number keeps later copies from being run. Packets
// other than requests and Open get no answer; their sender repeats them.
func (c *Core) refuseHeld(m *FromTunnel) {
	c.Counters.HeldRefused++
	h := &m.Header
	p := &m.Packet
	if h.Kind != packet.ToAgent && h.Kind != packet.ToOwner {
		return
	}
	if !c.addressedHere(h) {
		return
	}
	if p.Kind == packet.Open {
		c.refuseOpen(h, p, retryAfterUnavailable)
		return
	}
	if p.Kind == packet.Request && p.Token.Verify(c.options.Keys, p.Flow) {
		c.refuseHeldRequest(h, p)
	}
}

func (c *Core) refuseHeldRequest(h *packet.Tunnel, p *packet.Packet) {
	f := c.flows.get(flowKey{
		service: h.Service,
		flow:    p.Flow,
	})
	if f == nil || f.state != active || p.Request == 0 || f.window.check(p.Request) != unseen {
		return
	}

	f.window.mark(p.Request)
	f.entry = h.Entry
	f.caller = h.Caller
	c.finishRequest(c.newRequest(f, p), c.refusal(packet.StatusNotRun, retryAfterUnavailable))
}
