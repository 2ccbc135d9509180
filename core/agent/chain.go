package agent

import (
	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/wire"
)

// Field numbers of an encoded remote.
const (
	remoteAgent       protowire.Number = 1
	remoteTarget      protowire.Number = 2
	remoteZone        protowire.Number = 3
	remoteIncarnation protowire.Number = 4
)

func appendRemote(b []byte, n protowire.Number, r remote) []byte {
	m := appendAddress(nil, remoteAgent, r.agent)
	m = wire.AppendFixed(m, remoteTarget, r.target)
	m = wire.AppendFixed(m, remoteZone, r.zone)
	m = wire.AppendFixed(m, remoteIncarnation, r.incarnation)
	b = protowire.AppendTag(b, n, protowire.BytesType)

	return protowire.AppendBytes(b, m)
}

func decodeRemote(b []byte) (remote, error) {
	r := remote{}
	err := eachField(b, func(f field) error {
		var err error

		switch f.Number {
		case remoteAgent:
			r.agent, err = decodeAddress(f.Bytes)
		case remoteTarget:
			r.target = f.Value
		case remoteZone:
			r.zone = f.Value
		case remoteIncarnation:
			r.incarnation = f.Value
		}

		return err
	})

	return r, err
}

// announcingOwners lists the owners before this one that still tell the caller a
// token, because nobody has told them that the caller uses a newer one.
func (c *Core) announcingOwners(k flowKey) []remote {
	a, ok := c.adoptions.get(k)
	if !ok || a.notifiedAt != 0 {
		return nil
	}
	list := append([]remote{a.from}, a.earlier...)

	return list[:min(len(list), maxOwnerChain)]
}

// notifyEarlierOwners tells the owners before the previous one that the caller uses a
// newer token. The previous owner may have stopped, and an earlier one would
// lead the caller back to it for as long as it repeats the old token.
func (c *Core) notifyEarlierOwners(k flowKey, a adoption) {
	for _, e := range a.earlier {
		if !c.view.zoneOut(e.zone) {
			c.sendFlowMessage(e, packet.HandoverDone, k.service, appendAck(nil, ack{
				flow:     k.flow,
				epoch:    a.epoch,
				accepted: true,
				later:    true,
			}))
		}
	}
}

// notifyNextOwner tells the previous owner, which still leads the caller here, where
// the flow has gone, so that an idle caller learns the newest token even if
// this agent stops.
func (c *Core) notifyNextOwner(w *forward) {
	a, ok := c.adoptions.get(w.key)
	if !ok || a.notifiedAt != 0 || c.view.zoneOut(a.from.zone) {
		return
	}
	c.sendFlowMessage(a.from, packet.HandoverNext, w.key.service, appendAck(nil, ack{
		flow:      w.key.flow,
		epoch:     a.epoch,
		next:      w.to,
		nextEpoch: w.epoch,
	}))
}

// handoverNext follows a flow that the new owner has handed over itself.
func (c *Core) handoverNext(h *packet.Tunnel, body []byte) {
	a, err := decodeAck(body)
	if err != nil {
		c.Counters.DroppedBody++
		return
	}
	w, ok := c.forwards.get(flowKey{
		service: h.Service,
		flow:    a.flow,
	})
	if !ok || !c.addressedHere(h) || w.done || a.epoch != w.epoch || a.nextEpoch <= w.epoch || h.SenderIncarnation != w.to.incarnation {
		return
	}
	if a.next.agent == c.options.Self {
		// The flow is back here; its entry here serves the caller's packets.
		return
	}
	w.to = a.next
	w.epoch = a.nextEpoch
	w.delay = movedRetryDelay
	w.repeatAt = c.now
}
