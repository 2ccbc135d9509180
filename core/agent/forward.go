package agent

import (
	"net/netip"
	"time"

	"ibisfold.example/core/packet"
)

const (
	// movedRetryDelay is the time until Moved is sent to a caller again; it
	// doubles up to maxMovedRetryDelay.
	movedRetryDelay    = 200 * time.Millisecond
	maxMovedRetryDelay = 2 * time.Second
	// doneForwardTime is how long a forwarding entry is kept for late packets
	// after the caller used the new token.
	doneForwardTime = 10 * time.Second
	// maxOwnerChain bounds the owners that a packet is forwarded through and the
	// earlier owners that a handover names.
	maxOwnerChain = 8
)

// forward is the forwarding entry of a flow that was handed over. This agent
// forwards the flow's late packets to the new owner, and sends the new token to
// the caller until the caller uses it.
type forward struct {
	key     flowKey
	to      peerInstance
	entry   netip.AddrPort
	caller  netip.AddrPort
	address netip.AddrPort
	epoch   uint32
	// done means that the caller has used the new token.
	done bool
	// unused means that the caller had not used the flow before the handover.
	// Another agent may own the flow that the caller uses, so the caller is not
	// sent a token and a shutdown does not wait for its use.
	unused    bool
	expiresAt time.Duration
	repeatAt  time.Duration
	delay     time.Duration
}

// forwardTable holds forwarding entries, in order of their creation.
type forwardTable struct {
	entries map[flowKey]*forward
	order   []*forward
	// open counts the entries of used flows that are not done; a shutdown waits
	// for them.
	open int
}

func newForwardTable() forwardTable {
	return forwardTable{
		entries: map[flowKey]*forward{},
	}
}

func (t *forwardTable) get(k flowKey) (*forward, bool) {
	w, ok := t.entries[k]

	return w, ok
}

func (t *forwardTable) add(w *forward) {
	t.entries[w.key] = w
	t.order = append(t.order, w)
	if !w.unused {
		t.open++
	}
}

func (t *forwardTable) markDone(now time.Duration, w *forward) {
	if w.done {
		return
	}
	w.done = true
	w.expiresAt = now + doneForwardTime
	if !w.unused {
		t.open--
	}
}

func (t *forwardTable) expire(now time.Duration) {
	n := 0
	for _, w := range t.order {
		if w.expiresAt > now {
			t.order[n] = w
			n++
			continue
		}
		if !w.done && !w.unused {
			t.open--
		}
		delete(t.entries, w.key)
	}
	clear(t.order[n:])
	t.order = t.order[:n]
}

// forward forwards a late packet to the flow's new owner.
func (c *Core) forward(w *forward, h *packet.Tunnel, p *packet.Packet) {
	if h.Hops >= maxOwnerChain || c.view == nil {
		c.reset(h, p)
		return
	}
	if c.view.zoneOut(w.to.zone) {
		c.resetWithToken(h, p, c.ownerToken(w.to, w.key))
		return
	}

	c.notifyPreviousOwner(w.key, h)
	if w.done {
		w.expiresAt = c.now + doneForwardTime
	}
	w.entry = h.Entry
	w.caller = h.Caller
	o := *h
	o.Kind = packet.ToOwner
	o.Hops++
	o.Target = w.to.target
	o.Incarnation = w.to.incarnation
	c.send(SendTunnel{
		To:     w.to.agent,
		Header: o,
		Packet: *p,
	})
}

// announceOwner confirms the handover to the new owner and sends the caller the
// new owner's token.
func (c *Core) announceOwner(w *forward) {
	w.repeatAt = c.now + c.jitter(w.delay)
	w.delay = min(maxMovedRetryDelay, 2*w.delay)
	c.sendAck(w.to, packet.HandoverCommit, w.key, ack{
		epoch:    w.epoch,
		accepted: true,
	})
	c.sendHandoverNext(w)
	if !w.unused {
		c.sendMoved(w)
	}
}

func (c *Core) sendMoved(w *forward) {
	entry := w.entry
	if w.delay > 2*movedRetryDelay {
		// The entry that delivered the flow's last packet may be gone, and an
		// idle caller sends no packet that would name another.
		entry = c.entries.pick(c.rand, w.entry)
	}
	c.send(SendTunnel{
		To: entry,
		Header: packet.Tunnel{
			Kind:    packet.ToEntry,
			Service: w.key.service,
			Entry:   entry,
			Caller:  w.caller,
		},
		Packet: packet.Packet{
			Kind:    packet.Moved,
			Service: w.address,
			Flow:    w.key.flow,
			Token:   c.ownerToken(w.to, w.key),
		},
	})
}

// repeatAnnouncements announces new owners again until the caller uses the new
// token. Nobody may ever use an unused flow, so its announcements end when the
// delay has reached its maximum.
func (c *Core) repeatAnnouncements() {
	for _, w := range c.forwards.order {
		over := w.done || w.unused && w.delay == maxMovedRetryDelay
		if !over && c.now >= w.repeatAt {
			c.announceOwner(w)
		}
	}
}

// handoverDone ends the announcements of a new owner, because the caller uses
// its token or a newer one.
func (c *Core) handoverDone(h *packet.Tunnel, body []byte) {
	k, a, ok := c.receiveAck(h, body)
	if !ok {
		return
	}
	w, ok := c.forwards.get(k)
	if !ok {
		return
	}
	direct := a.epoch == w.epoch && h.SenderIncarnation == w.to.incarnation
	if !direct && !(a.later && a.epoch >= w.epoch) {
		return
	}
	c.forwards.markDone(c.now, w)
}
