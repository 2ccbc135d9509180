package agent

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/packet"
)

const (
	// offerRetryDelay is the time until an unanswered offer is repeated; it
	// doubles up to maxOfferRetryDelay. It is above a round trip between zones.
	// At 30% loss the maximum leaves time for ten attempts within a deadline of
	// four seconds.
	offerRetryDelay    = 100 * time.Millisecond
	maxOfferRetryDelay = 400 * time.Millisecond
	// maxOffers bounds the offers in progress.
	maxOffers = 1024
	// maxOfferTries bounds the peers that a request is offered to in turn.
	maxOfferTries = 3
	// maxOfferSilence is how long a peer with an offer may be silent. It is above
	// suspectAfter, because giving up an offer makes the request's outcome
	// unknown.
	maxOfferSilence = 5 * time.Second
)

// offer is the owner's state of a request that it offered to a peer.
type offer struct {
	target      uint64
	agent       netip.AddrPort
	incarnation uint64
	zone        uint64
	number      uint64
	// heard is when the peer last answered the offer, or when the offer was first
	// sent.
	heard    time.Duration
	repeatAt time.Duration
	delay    time.Duration
}

// offerKey identifies an offer in progress by the peer's address and the
// number of the offer.
type offerKey struct {
	agent  netip.AddrPort
	number uint64
}

func (o *offer) key() offerKey {
	return offerKey{
		agent:  o.agent,
		number: o.number,
	}
}

// pickPeer returns the peer that should run a request, or nil if this agent's
// target should.
func (c *Core) pickPeer(r *request) *peer {
	if !c.confirmed() || r.hops >= maxHops || len(r.refusedBy) >= maxOfferTries || len(c.sentOffers) >= maxOffers {
		return nil
	}
	loads := c.candidates.collect(c.groupOf(r.key.service), func(q *peer) bool {
		return q.usable() && !slices.Contains(r.refusedBy, q.Target) &&
			(r.origin == nil || r.origin.agent != q.Agent)
	})
	if len(loads) == 0 {
		return nil
	}

	if !c.ownTargetReady(r) {
		return c.candidates.peers[leastBusy(loads)]
	}
	if c.queue.Len() > 0 && c.queue.HasLongestQueue(r.tenant) && allFull(loads) {
		return nil
	}
	i := c.balance.PickRequest(c.now, c.Load(), loads, c.rand)
	if i < 0 {
		return nil
	}

	return c.candidates.peers[i]
}

// ownTargetReady reports whether this agent's target can run the request now,
// so that its load is compared with the peers' loads.
func (c *Core) ownTargetReady(r *request) bool {
	return c.acceptsWork() && c.mayRun(r) && r.key.service == c.view.Service && c.backend.ready(c.now)
}

// allFull reports whether no peer has a free slot. A request of the tenant with
// the longest queue would then wait as long there.
func allFull(loads []admission.Load) bool {
	for _, l := range loads {
		if l.Running+l.Waiting < l.Limit {
			return false
		}
	}

	return true
}

func leastBusy(loads []admission.Load) int {
	best := 0
	for i, l := range loads {
		a := (l.Running + l.Waiting) * max(1, loads[best].Slots)
		b := (loads[best].Running + loads[best].Waiting) * max(1, l.Slots)
		if a < b {
			best = i
		}
	}

	return best
}

// offerTo offers a request to a peer. From here on it may have run there.
func (c *Core) offerTo(r *request, q *peer) {
	c.lastOfferNumber++
	r.state = offeredToPeer
	r.parts = parts{}
	r.offer = offer{
		target:      q.Target,
		agent:       q.Agent,
		incarnation: q.incarnation,
		zone:        q.Zone,
		number:      c.lastOfferNumber,
		heard:       c.now,
		delay:       offerRetryDelay,
	}
	c.sentOffers[r.offer.key()] = r
	q.offeredSinceReport++
	c.Counters.OffersSent++
	c.sendOffer(r)
}

func (c *Core) sendOffer(r *request) {
	r.offer.repeatAt = c.now + c.jitter(r.offer.delay)
	r.offer.delay = min(maxOfferRetryDelay, 2*r.offer.delay)
	p := r.offerPacket(packet.Request)
	p.Service = r.address
	p.Idempotent = r.idempotent
	p.Deadline = r.remaining(c.now)
	p.Tenant = []byte(r.tenant)
	p.Payload = r.payload
	p.Load = AppendLoad(nil, c.Load())
	c.sendToPeer(r, packet.Offer, p)
}

func (c *Core) cancelOffer(r *request) {
	if c.view.zoneOut(r.offer.zone) {
		return
	}
	c.sendToPeer(r, packet.OfferCancel, r.offerPacket(packet.Cancel))
}

// offerPacket returns a packet about an offer; Boot carries the offer's number.
func (r *request) offerPacket(k packet.Kind) packet.Packet {
	return packet.Packet{
		Kind:    k,
		Flow:    r.key.flow,
		Request: r.number,
		Boot:    r.offer.number,
	}
}

// sendToPeer sends a packet about an offer. Its token names this agent, so that
// the peer knows where to send the answer.
func (c *Core) sendToPeer(r *request, k packet.TunnelKind, p packet.Packet) {
	p.Token = c.ownToken(r.key.service, r.key.flow)
	p.Running = uint32(c.running())
	c.send(SendTunnel{
		To: r.offer.agent,
		Header: packet.Tunnel{
			Kind:        k,
			Hops:        r.hops + 1,
			Service:     r.key.service,
			Target:      r.offer.target,
			Incarnation: r.offer.incarnation,
		},
		Packet: p,
	})
}

// repeatOffers repeats unanswered offers to the same peer, until the peer has
// been silent for too long.
func (c *Core) repeatOffers() {
	if len(c.sentOffers) == 0 {
		return
	}
	for r := range c.inProgress.all() {
		if r.state == offeredToPeer && c.now >= r.offer.repeatAt {
			c.repeatOffer(r)
		}
	}
}

func (c *Core) repeatOffer(r *request) {
	if c.view.zoneOut(r.offer.zone) || c.peerGone(&r.offer) {
		c.loseOffer(r)
		return
	}
	c.sendOffer(r)
}

// peerGone reports whether the peer of an offer restarted or has been silent
// for too long. A peer that left the group still answers its offers.
func (c *Core) peerGone(o *offer) bool {
	heard := o.heard
	if q := c.peerOf(o.target); q != nil && q.Agent == o.agent {
		if q.incarnation != o.incarnation {
			return true
		}
		heard = max(heard, q.heard)
	}

	return c.now-heard > maxOfferSilence
}

// loseOffer gives up an offer whose peer restarted or is gone.
func (c *Core) loseOffer(r *request) {
	c.Counters.OffersLost++
	r.refusedBy = append(r.refusedBy, r.offer.target)
	c.endOffer(r)
	c.retryOrRefuse(r)
}

// losePeer gives up the offers to an earlier start of a peer.
func (c *Core) losePeer(agent netip.AddrPort, incarnation uint64) {
	for r := range c.inProgress.all() {
		if r.state == offeredToPeer && r.offer.agent == agent && r.offer.incarnation == incarnation {
			c.loseOffer(r)
		}
	}
}

// endOffer ends the offer of a request. The request is then in progress here
// again.
func (c *Core) endOffer(r *request) {
	if r.state != offeredToPeer {
		return
	}
	r.state = received
	delete(c.sentOffers, r.offer.key())
	if q := c.peerOf(r.offer.target); q != nil {
		q.offeredSinceReport = max(0, q.offeredSinceReport-1)
	}
}

// offerAnswered applies a peer's answer to an offer.
func (c *Core) offerAnswered(h *packet.Tunnel, p *packet.Packet) {
	r := c.sentOffers[offerKey{
		agent:  h.Sender,
		number: p.Boot,
	}]
	if !c.addressedHere(h) || h.Incarnation == 0 || r == nil || r.key.flow != p.Flow || r.number != p.Request {
		c.Counters.LateAnswers++
		return
	}
	if p.Kind == packet.Reset || h.SenderIncarnation != r.offer.incarnation {
		c.loseOffer(r)
		return
	}

	r.offer.heard = c.now
	c.updatePeerLoad(c.peerOf(r.offer.target), h, p)
	switch {
	case p.Kind == packet.KeepAlive:
		// The peer still has the request in progress.
	case p.Kind == packet.Answer:
		c.offerCompleted(r, p)
	case p.Status == packet.StatusNotRun:
		c.offerRefused(r)
	case p.Status == packet.StatusCancelled:
		c.endOffer(r)
		c.finishCancelled(r)
	default:
		c.loseOffer(r)
	}
}

func (c *Core) offerCompleted(r *request, p *packet.Packet) {
	if !r.parts.add(p) {
		return
	}
	c.endOffer(r)
	c.finishRequest(r, answer{
		kind:   packet.Answer,
		status: p.Status,
		parts:  r.parts.data,
	})
}

// offerRefused places a request again after the peer reported that it did not
// run it.
func (c *Core) offerRefused(r *request) {
	c.Counters.OffersRefused++
	c.balance.Refused(c.now, r.offer.target)
	r.refusedBy = append(r.refusedBy, r.offer.target)
	c.endOffer(r)
	c.placeRequest(r)
}
