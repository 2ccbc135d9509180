package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

const (
	// minDoneInterval is the least time between two HandoverDone for a flow.
	minDoneInterval = 500 * time.Millisecond
	// maxAdoptions bounds the adopted flows whose previous owner is remembered.
	maxAdoptions = 65536
)

// adoption records from whom a flow was adopted. The previous owner announces
// the new token to the caller until it gets HandoverDone.
type adoption struct {
	from  peerInstance
	epoch uint32
	// notifiedAt is when HandoverDone was last sent; zero if it never was.
	notifiedAt time.Duration
	// earlierOwners are owners before from that may still announce an older token
	// to the caller.
	earlierOwners []peerInstance
}

// receiveHandover accepts or refuses a flow that a peer hands over. The copy is
// not used until a packet arrives under the new token or from the peer, because
// the peer may never receive the acknowledgement and keep the flow.
func (c *Core) receiveHandover(h *packet.Tunnel, body []byte) {
	m, err := decodeFlow(body)
	if err != nil {
		c.Counters.DroppedBody++
		return
	}
	if !c.addressedHere(h) || h.Incarnation == 0 {
		c.Counters.DroppedFence++
		return
	}

	k := flowKey{
		service: h.Service,
		flow:    m.flow,
	}
	from := peerInstance{
		agent:       h.Sender,
		target:      m.owner,
		zone:        m.zone,
		incarnation: h.SenderIncarnation,
	}
	accepted := m.unused && c.knowsFlow(k) || c.prepareAdoption(k, m)
	if accepted && !c.knowsFlow(k) {
		c.adoptFlow(k, m, from)
	}
	c.sendAck(from, packet.HandoverAck, k, ack{
		epoch:    m.epoch,
		accepted: accepted,
	})
}

// knowsFlow reports whether this agent has a flow with this key, has closed it
// or has handed it over. If a peer hands over a copy of such a flow that no
// caller has used, the agent accepts it without storing it, because that copy
// holds no state.
func (c *Core) knowsFlow(k flowKey) bool {
	_, closed := c.closed.get(k)
	_, forwarded := c.forwards.get(k)

	return c.flows.get(k) != nil || closed || forwarded
}

// prepareAdoption reports whether this agent accepts a handed-over flow: it
// already has the flow in the same epoch, or has room for it. It first removes
// a copy that no caller has used, or an adopted copy of an older epoch. An
// agent that handed the flow over does not take it back while old packets may
// still arrive: their token would activate the copy too early.
func (c *Core) prepareAdoption(k flowKey, m flowBody) bool {
	f := c.flows.get(k)
	switch {
	case f == nil:
	case f.state == halfOpen || f.unused:
		c.cancelHandover(f)
		c.flows.remove(f)
	case f.state != adopted || m.epoch <= f.epoch:
		return m.epoch == f.epoch
	default:
		c.removeFlow(f)
	}

	return !c.knowsFlow(k) && c.acceptsWork() && k.service == c.view.Service && c.flows.len() < c.view.Connections
}

func (c *Core) adoptFlow(k flowKey, m flowBody, from peerInstance) {
	c.Counters.FlowsAdopted++
	c.flows.add(&flow{
		key:      k,
		entry:    m.entry,
		caller:   m.caller,
		address:  m.address,
		window:   m.window,
		lastUsed: c.now,
		epoch:    m.epoch,
		unused:   m.unused,
		state:    adopted,
	})
	for _, a := range m.answers {
		c.answers.put(c.now, k.answerKey(a.number), a.answer, a.answer.bytes())
	}
	c.adoptions.put(c.now, k, adoption{
		from:          from,
		epoch:         m.epoch,
		earlierOwners: m.earlierOwners,
	}, 1)
}

// activateFlow makes an adopted flow active. The previous owner has committed
// the handover: it forwarded a packet, or the caller uses the new token.
func (c *Core) activateFlow(f *flow, h *packet.Tunnel) {
	if f.state == adopted {
		f.state = active
	}
	if f.epoch > 0 {
		c.notifyPreviousOwner(f.key, h)
	}
}

// notifyPreviousOwner sends HandoverDone to the previous owner once the caller
// uses this agent's token. It does so even after the flow has moved on, because
// the previous owner announces its token until it gets HandoverDone.
func (c *Core) notifyPreviousOwner(k flowKey, h *packet.Tunnel) {
	a, ok := c.adoptions.get(k)
	if !ok || h.Kind == packet.ToOwner && a.notifiedAt == 0 || a.notifiedAt != 0 && c.now-a.notifiedAt < minDoneInterval {
		return
	}

	a.notifiedAt = c.now
	c.adoptions.replace(k, a)
	c.notifyEarlierOwners(k, a)
	if c.view.zoneOut(a.from.zone) {
		return
	}
	c.sendAck(a.from, packet.HandoverDone, k, ack{
		epoch:    a.epoch,
		accepted: true,
	})
}

// handoverCommitted activates an adopted flow before its caller sends a packet,
// so that the flow of an idle caller can be handed over again.
func (c *Core) handoverCommitted(h *packet.Tunnel, body []byte) {
	k, m, ok := c.receiveAck(h, body)
	if !ok {
		return
	}
	f := c.flows.get(k)
	a, ok := c.adoptions.get(k)
	if f == nil || !ok || f.state != adopted || f.epoch != m.epoch {
		return
	}
	if a.from.agent == h.Sender && a.from.incarnation == h.SenderIncarnation {
		f.state = active
	}
}
