package agent

import (
	"net/netip"
	"time"

	"ibisfold.example/core/packet"
)

const (
	// ownerWindowTime is how long the window of a silent owner is kept. It is
	// above the longest deadline, so that no copy of an offer outlives it.
	ownerWindowTime = 2 * packet.MaxDeadline
	maxOwnerWindows = 1024
)

// originKey identifies an offer at the agent that received it: the target and
// incarnation of the agent that made it, and its number there.
type originKey struct {
	target      uint64
	incarnation uint64
	number      uint64
}

func (k originKey) answerKey() answerKey {
	return answerKey{
		offered: true,
		scope:   k.target,
		flow:    k.incarnation,
		number:  k.number,
	}
}

// origin names the agent that offered a request.
type origin struct {
	key     originKey
	agent   netip.AddrPort
	service uint64
	zone    uint64
}

func originOf(p *packet.Packet) *origin {
	return &origin{
		key: originKey{
			target:      p.Token.Target,
			incarnation: p.Token.Incarnation,
			number:      p.Boot,
		},
		agent:   p.Token.Agent,
		service: p.Token.Service,
		zone:    p.Token.Zone,
	}
}

// owner identifies one start of an agent that offers requests.
type owner struct {
	target      uint64
	incarnation uint64
}

type ownerWindow struct {
	owner  owner
	window wideWindow
	used   time.Duration
}

// ownerWindowTable records which offers of each owner were received.
type ownerWindowTable struct {
	// windows is in order of first use; there are a few per peer.
	windows []*ownerWindow
}

func (t *ownerWindowTable) window(now time.Duration, o owner) *wideWindow {
	for _, w := range t.windows {
		if w.owner == o {
			w.used = now
			return &w.window
		}
	}
	t.expire(now)
	w := &ownerWindow{
		owner: o,
		used:  now,
	}
	t.windows = append(t.windows, w)

	return &w.window
}

// expire removes the windows of silent owners, and the oldest one if there are
// too many.
func (t *ownerWindowTable) expire(now time.Duration) {
	n := 0
	for _, w := range t.windows {
		if now-w.used < ownerWindowTime {
			t.windows[n] = w
			n++
		}
	}
	clear(t.windows[n:])
	t.windows = t.windows[:n]
	if n >= maxOwnerWindows {
		t.windows = append(t.windows[:0], t.windows[1:]...)
	}
}

// receiveOffer accepts or refuses a request that a peer offers. Copies of an
// offer are detected before anything else, because only a first copy may be
// refused as not run.
func (c *Core) receiveOffer(h *packet.Tunnel, p *packet.Packet) {
	o, ok := c.verifyOffer(h, p)
	c.drain.lastOfferAt = c.now
	if !ok || c.answerDuplicateOffer(o, p) {
		return
	}

	q := c.peerOf(p.Token.Target)
	c.updatePeerLoad(q, h, p)
	c.originWindow(o).mark(o.key.number)
	r := c.newOfferedRequest(o, h, p)
	if !c.acceptsWork() || h.Service != c.view.Service || c.inProgress.len > maxInProgress {
		c.finishRequest(r, c.refusal(packet.StatusNotRun, retryAfterUnavailable))
		return
	}
	if q != nil && !c.acceptsOffer(r, q) {
		c.finishRequest(r, c.refusal(packet.StatusNotRun, c.waitEstimate(r.tenant)))
		return
	}
	c.Counters.OffersTaken++
	c.placeRequest(r)
}

// acceptsOffer reports whether this agent's target can run a peer's request
// soon. An offer of a draining peer always passes, because that peer may not
// use its own target any more; the queue may still refuse it.
func (c *Core) acceptsOffer(r *request, owner *peer) bool {
	return owner.Draining || owner.load.Draining || c.queue.AcceptsOffer(r.tenant, c.Load(), owner.load)
}

// verifyOffer checks that an offer is addressed to this start of the agent. An
// offer to an earlier start may have run there, so its outcome is unknown.
func (c *Core) verifyOffer(h *packet.Tunnel, p *packet.Packet) (*origin, bool) {
	if !p.Token.Verify(c.options.Keys, p.Flow) || p.Token.Service != h.Service || p.Boot == 0 {
		c.Counters.DroppedToken++
		return nil, false
	}
	o := originOf(p)
	if !c.addressedHere(h) || h.Incarnation == 0 {
		c.Counters.DroppedFence++
		c.answerOffer(o, p.Flow, p.Request, answer{
			kind:   packet.Reset,
			status: packet.StatusOutcomeUnknown,
		})
		return nil, false
	}

	return o, true
}

func (c *Core) originWindow(o *origin) *wideWindow {
	return c.ownerWindows.window(c.now, owner{
		target:      o.key.target,
		incarnation: o.key.incarnation,
	})
}

// answerDuplicateOffer answers a copy of an offer and reports whether it was one.
func (c *Core) answerDuplicateOffer(o *origin, p *packet.Packet) bool {
	if c.originWindow(o).check(o.key.number) == unseen {
		return false
	}

	c.Counters.Duplicates++
	if c.receivedOffers[o.key] != nil {
		c.answerOffer(o, p.Flow, p.Request, answer{
			kind: packet.KeepAlive,
		})
		return true
	}
	c.answerOffer(o, p.Flow, p.Request, c.finalAnswer(o.key.answerKey()))

	return true
}

func (c *Core) newOfferedRequest(o *origin, h *packet.Tunnel, p *packet.Packet) *request {
	r := c.copyRequest(p)
	r.key = flowKey{
		service: h.Service,
		flow:    p.Flow,
	}
	r.origin = o
	r.hops = h.Hops
	c.receivedOffers[o.key] = r
	c.inProgress.append(r)

	return r
}

// updatePeerLoad records the load that a peer sends along with an offer or its
// answer.
func (c *Core) updatePeerLoad(q *peer, h *packet.Tunnel, p *packet.Packet) {
	if q == nil || q.incarnation != h.SenderIncarnation {
		return
	}
	q.heard = c.now
	l, err := DecodeLoad(p.Load)
	if err != nil || l.Target != q.Target || l.Incarnation != q.incarnation {
		return
	}
	q.load = l
	q.offeredSinceReport = 0
	q.ownFlowsAtReport = c.flows.len()
}

// answerOffer sends all parts of an answer to the agent that offered the request.
func (c *Core) answerOffer(o *origin, flow, number uint64, a answer) {
	if c.view != nil && c.view.zoneOut(o.zone) {
		return
	}
	for i := range max(1, len(a.parts)) {
		p := a.packet(number, i)
		p.Flow = flow
		p.Boot = o.key.number
		if i == 0 {
			p.Load = AppendLoad(nil, c.Load())
		}
		c.send(SendTunnel{
			To: o.agent,
			Header: packet.Tunnel{
				Kind:        packet.OfferAnswer,
				Service:     o.service,
				Target:      o.key.target,
				Incarnation: o.key.incarnation,
			},
			Packet: p,
		})
	}
}

// offerCancelled cancels an offered request. A cancellation that arrives before
// its offer keeps the offer from being run.
func (c *Core) offerCancelled(h *packet.Tunnel, p *packet.Packet) {
	o, ok := c.verifyOffer(h, p)
	if !ok {
		return
	}
	if r := c.receivedOffers[o.key]; r != nil {
		c.cancelRequest(r)
		return
	}
	if c.answerDuplicateOffer(o, p) {
		return
	}
	c.originWindow(o).mark(o.key.number)
	c.finishRequest(c.newOfferedRequest(o, h, p), c.refusal(packet.StatusCancelled, 0))
}
