package agent

import (
	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/wire"
)

// maxAckBytes is the longest accepted encoding of an ack.
const maxAckBytes = 160

// Field numbers of an acknowledgement.
const (
	ackFlow      protowire.Number = 1
	ackEpoch     protowire.Number = 2
	ackAccepted  protowire.Number = 3
	ackLater     protowire.Number = 4
	ackNext      protowire.Number = 5
	ackNextEpoch protowire.Number = 6
)

// ack is the body of the messages about a handover other than Handover.
type ack struct {
	flow     uint64
	epoch    uint32
	accepted bool
	// later means that epoch is of a later handover than the receiver's own.
	later bool
	// next and nextEpoch name the new owner and the epoch of the handover that
	// followed; only HandoverNext has them.
	next      peerInstance
	nextEpoch uint32
}

func appendAck(b []byte, a ack) []byte {
	b = wire.AppendFixed(b, ackFlow, a.flow)
	b = wire.AppendVarint(b, ackEpoch, uint64(a.epoch))
	b = wire.AppendVarint(b, ackAccepted, protowire.EncodeBool(a.accepted))
	b = wire.AppendVarint(b, ackLater, protowire.EncodeBool(a.later))
	if a.next.agent.IsValid() {
		b = appendInstance(b, ackNext, a.next)
	}

	return wire.AppendVarint(b, ackNextEpoch, uint64(a.nextEpoch))
}

func decodeAck(b []byte) (ack, error) {
	a := ack{}
	if len(b) > maxAckBytes {
		return a, ErrBody
	}
	err := eachField(b, func(f field) error {
		switch f.Number {
		case ackFlow:
			a.flow = f.Value
		case ackEpoch:
			a.epoch = uint32(f.Value)
		case ackAccepted:
			a.accepted = f.Value != 0
		case ackLater:
			a.later = f.Value != 0
		case ackNext:
			var err error
			a.next, err = decodeInstance(f.Bytes)
			return err
		case ackNextEpoch:
			a.nextEpoch = uint32(f.Value)
		}

		return nil
	})
	if err != nil {
		return ack{}, err
	}

	return a, nil
}

// sendAck sends a message about the handover of a flow to an agent.
func (c *Core) sendAck(to peerInstance, kind packet.TunnelKind, k flowKey, a ack) {
	a.flow = k.flow
	c.sendBody(to, kind, k.service, appendAck(nil, a))
}

// receiveAck decodes a message about the handover of a flow. It returns false
// if the message is malformed or meant for another start of the agent.
func (c *Core) receiveAck(h *packet.Tunnel, body []byte) (flowKey, ack, bool) {
	a, err := decodeAck(body)
	if err != nil {
		c.Counters.DroppedBody++
		return flowKey{}, ack{}, false
	}

	return flowKey{
		service: h.Service,
		flow:    a.flow,
	}, a, c.addressedHere(h)
}
