package agent

import "ibisfold.example/core/packet"

// announcingOwners returns the owners before this one that may still announce a
// token to the caller, because this agent has not sent them HandoverDone.
func (c *Core) announcingOwners(k flowKey) []peerInstance {
	a, ok := c.adoptions.get(k)
	if !ok || a.notifiedAt != 0 {
		return nil
	}
	list := append([]peerInstance{a.from}, a.earlierOwners...)

	return list[:min(len(list), maxOwnerChain)]
}

// notifyEarlierOwners sends HandoverDone to the owners before the previous one.
// The previous owner may have stopped, and an earlier one would direct the
// caller back to it for as long as it repeats the old token.
func (c *Core) notifyEarlierOwners(k flowKey, a adoption) {
	for _, e := range a.earlierOwners {
		if !c.view.zoneOut(e.zone) {
			c.sendAck(e, packet.HandoverDone, k, ack{
				epoch:    a.epoch,
				accepted: true,
				later:    true,
			})
		}
	}
}

// sendHandoverNext tells the previous owner, which still directs the caller
// here, where the flow has gone, so that an idle caller learns the newest token
// even if this agent stops.
func (c *Core) sendHandoverNext(w *forward) {
	a, ok := c.adoptions.get(w.key)
	if !ok || a.notifiedAt != 0 || c.view.zoneOut(a.from.zone) {
		return
	}
	c.sendAck(a.from, packet.HandoverNext, w.key, ack{
		epoch:     a.epoch,
		next:      w.to,
		nextEpoch: w.epoch,
	})
}

// handoverNext updates the forwarding entry of a flow that its new owner has
// handed over in turn.
func (c *Core) handoverNext(h *packet.Tunnel, body []byte) {
	k, a, ok := c.receiveAck(h, body)
	if !ok {
		return
	}
	w, ok := c.forwards.get(k)
	if !ok || w.done || a.epoch != w.epoch || a.nextEpoch <= w.epoch || h.SenderIncarnation != w.to.incarnation {
		return
	}
	if a.next.agent == c.options.Self {
		// The flow has come back here; its entry in the flow table serves the
		// caller's packets.
		return
	}
	w.to = a.next
	w.epoch = a.nextEpoch
	w.delay = movedRetryDelay
	w.repeatAt = c.now
}
