package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

const (
	// doneInterval is the least time between two HandoverDone for a flow.
	doneInterval = 500 * time.Millisecond
	// adoptionsMax bounds the memory of previous owners.
	adoptionsMax = 65536
)

// adoption names the previous owner of a flow, who waits for HandoverDone.
type adoption struct {
	from   remote
	epoch  uint32
	doneAt time.Duration
}

// takeHandover accepts or refuses a flow that a peer hands over. The copy is
// not used until a packet arrives under the new token or from the peer, because
// the peer may never receive the acknowledgement and keep the flow.
func (c *Core) takeHandover(h *packet.Tunnel, body []byte) {
	m, err := decodeFlow(body)
	if err != nil {
		c.Counters.DroppedBody++
		return
	}
	if !c.meant(h) || h.Incarnation == 0 {
		c.Counters.DroppedFence++
		return
	}

	k := flowKey{
		service: h.Service,
		flow:    m.flow,
	}
	from := remote{
		agent:       h.Sender,
		target:      m.owner,
		zone:        m.zone,
		incarnation: h.SenderIncarnation,
	}
	accepted := c.adopts(k, m.epoch)
	if accepted && c.flows.get(k) == nil {
		c.adopt(k, m, from)
	}
	c.sendFlow(from, packet.HandoverAck, k.service, appendAck(nil, ack{
		flow:     m.flow,
		epoch:    m.epoch,
		accepted: accepted,
	}))
}

// adopts reports whether a copy of a flow is or becomes the current one here.
// An agent that gave the flow away does not take it back while old packets may
// still arrive: their token would activate the copy too early.
func (c *Core) adopts(k flowKey, epoch uint32) bool {
	if f := c.flows.get(k); f != nil {
		if f.state != adopted || epoch <= f.epoch {
			return epoch == f.epoch && f.state != halfOpen
		}
		c.forget(f)
	}
	if _, ok := c.closed.get(k); ok {
		return false
	}
	if _, ok := c.forwards.get(k); ok {
		return false
	}

	return c.acceptsWork() && k.service == c.view.Service && c.flows.len() < c.view.Connections
}

func (c *Core) adopt(k flowKey, m flowBody, from remote) {
	c.Counters.FlowsAdopted++
	c.flows.add(&flow{
		key:     k,
		entry:   m.entry,
		caller:  m.caller,
		address: m.address,
		window:  m.window,
		used:    c.now,
		epoch:   m.epoch,
		state:   adopted,
	})
	for _, a := range m.answers {
		c.answers.put(c.now, answerKey{
			scope:  k.service,
			flow:   k.flow,
			number: a.number,
		}, a.answer, a.answer.bytes())
	}
	c.adoptions.put(c.now, k, adoption{
		from:  from,
		epoch: m.epoch,
	}, 1)
}

// activate notes that the previous owner has committed a handover: it passed a
// packet on, or the caller uses the new token. The latter lets it forget the flow.
func (c *Core) activate(f *flow, h *packet.Tunnel) {
	if f.state == adopted {
		f.state = active
	}
	if f.epoch == 0 {
		return
	}
	a, ok := c.adoptions.get(f.key)
	if !ok || h.Kind == packet.ToOwner && a.doneAt == 0 || a.doneAt != 0 && c.now-a.doneAt < doneInterval {
		return
	}

	a.doneAt = c.now
	c.adoptions.replace(f.key, a)
	if c.view.zoneOut(a.from.zone) {
		return
	}
	c.sendFlow(a.from, packet.HandoverDone, f.key.service, appendAck(nil, ack{
		flow:     f.key.flow,
		epoch:    a.epoch,
		accepted: true,
	}))
}
