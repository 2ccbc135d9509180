package agent

import (
	"encoding/binary"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/wire"
)

const (
	// maxFlowBytes is the longest encoded flow; with the tunnel header it fits a
	// packet. Cached answers that do not fit are left out.
	maxFlowBytes = packet.MaxBytes - packet.TunnelBytes - 256
	// maxFieldOverhead is the largest size of a field's tag and length, in bytes.
	maxFieldOverhead = 8
)

// Field numbers of an encoded flow.
const (
	flowNumber  protowire.Number = 1
	flowEpoch   protowire.Number = 2
	flowOwner   protowire.Number = 3
	flowZone    protowire.Number = 4
	flowEntry   protowire.Number = 5
	flowCaller  protowire.Number = 6
	flowAddress protowire.Number = 7
	flowHighest protowire.Number = 8
	flowSeen    protowire.Number = 9
	flowAnswer  protowire.Number = 10
	flowUnused  protowire.Number = 11
	flowEarlier protowire.Number = 12
)

// Field numbers of an encoded answer.
const (
	answerNumber protowire.Number = 1
	answerKind   protowire.Number = 2
	answerStatus protowire.Number = 3
	answerRetry  protowire.Number = 4
	answerPart   protowire.Number = 5
)

// flowBody is the body of Handover.
type flowBody struct {
	flow  uint64
	epoch uint32
	// owner and zone are the previous owner's target and its zone.
	owner   uint64
	zone    uint64
	entry   netip.AddrPort
	caller  netip.AddrPort
	address netip.AddrPort
	window  window
	// unused means that the caller has not used the flow at the previous owner.
	unused bool
	// earlierOwners are owners before the previous one that may still announce an
	// older token to the caller.
	earlierOwners []peerInstance
	answers       []numberedAnswer
}

type numberedAnswer struct {
	number uint64
	answer answer
}

// encodeFlow encodes a flow with as many of its latest answers as fit.
func (c *Core) encodeFlow(f *flow) []byte {
	b := wire.AppendFixed(nil, flowNumber, f.key.flow)
	b = wire.AppendVarint(b, flowEpoch, uint64(f.epoch))
	b = wire.AppendFixed(b, flowOwner, c.target)
	b = wire.AppendFixed(b, flowZone, c.zone)
	b = appendAddress(b, flowEntry, f.entry)
	b = appendAddress(b, flowCaller, f.caller)
	b = appendAddress(b, flowAddress, f.address)
	b = wire.AppendVarint(b, flowHighest, f.window.highest)
	b = wire.AppendFixed(b, flowSeen, f.window.seen)
	b = wire.AppendVarint(b, flowUnused, protowire.EncodeBool(f.unused))
	for _, e := range c.announcingOwners(f.key) {
		b = appendInstance(b, flowEarlier, e)
	}
	for i := range uint64(windowBits) {
		if f.window.seen&(1<<i) == 0 {
			continue
		}
		n := f.window.highest - i
		a, ok := c.answers.get(f.key.answerKey(n))
		if !ok {
			continue
		}
		s := appendAnswer(nil, n, a)
		if len(b)+len(s)+maxFieldOverhead <= maxFlowBytes {
			b = protowire.AppendTag(b, flowAnswer, protowire.BytesType)
			b = protowire.AppendBytes(b, s)
		}
	}

	return b
}

func appendAnswer(b []byte, number uint64, a answer) []byte {
	b = wire.AppendVarint(b, answerNumber, number)
	b = wire.AppendVarint(b, answerKind, uint64(a.kind))
	b = wire.AppendVarint(b, answerStatus, uint64(a.status))
	b = wire.AppendVarint(b, answerRetry, uint64(a.retryAfter.Milliseconds()))
	for _, s := range a.parts {
		b = protowire.AppendTag(b, answerPart, protowire.BytesType)
		b = protowire.AppendBytes(b, s)
	}

	return b
}

func appendAddress(b []byte, n protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return b
	}
	ip := a.Addr().As16()
	b = protowire.AppendTag(b, n, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(ip)+2))
	b = append(b, ip[:]...)

	return binary.BigEndian.AppendUint16(b, a.Port())
}

func decodeAddress(b []byte) (netip.AddrPort, error) {
	if len(b) != 18 {
		return netip.AddrPort{}, ErrBody
	}
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()

	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:])), nil
}

// decodeFlow decodes the body of Handover. The result does not alias b. It
// returns ErrBody if b is malformed.
func decodeFlow(b []byte) (flowBody, error) {
	m := flowBody{}
	if len(b) > packet.MaxBytes {
		return m, ErrBody
	}
	err := eachField(b, func(f field) error {
		return m.set(f)
	})
	if err != nil {
		return flowBody{}, err
	}

	return m, nil
}

func (m *flowBody) set(f field) error {
	var err error

	switch f.Number {
	case flowNumber:
		m.flow = f.Value
	case flowEpoch:
		m.epoch = uint32(f.Value)
	case flowOwner:
		m.owner = f.Value
	case flowZone:
		m.zone = f.Value
	case flowEntry:
		m.entry, err = decodeAddress(f.Bytes)
	case flowCaller:
		m.caller, err = decodeAddress(f.Bytes)
	case flowAddress:
		m.address, err = decodeAddress(f.Bytes)
	case flowHighest:
		m.window.highest = f.Value
	case flowSeen:
		m.window.seen = f.Value
	case flowUnused:
		m.unused = f.Value != 0
	case flowEarlier:
		var e peerInstance
		e, err = decodeInstance(f.Bytes)
		if len(m.earlierOwners) >= maxOwnerChain {
			return ErrBody
		}
		m.earlierOwners = append(m.earlierOwners, e)
	case flowAnswer:
		err = m.addAnswer(f.Bytes)
	}

	return err
}

func (m *flowBody) addAnswer(b []byte) error {
	a := numberedAnswer{}
	err := eachField(b, func(f field) error {
		return a.set(f)
	})
	if err != nil || len(m.answers) >= windowBits || len(a.answer.parts) > packet.MaxParts {
		return ErrBody
	}
	if a.answer.kind != packet.Answer && a.answer.kind != packet.Refused {
		return ErrBody
	}
	m.answers = append(m.answers, a)

	return nil
}

func (a *numberedAnswer) set(f field) error {
	switch f.Number {
	case answerNumber:
		a.number = f.Value
	case answerKind:
		a.answer.kind = packet.Kind(min(f.Value, 255))
	case answerStatus:
		if f.Value > uint64(packet.StatusCancelled) {
			return ErrBody
		}
		a.answer.status = packet.Status(f.Value)
	case answerRetry:
		a.answer.retryAfter = time.Duration(min(f.Value, maxLoadCount)) * time.Millisecond
	case answerPart:
		a.answer.parts = append(a.answer.parts, append([]byte{}, f.Bytes...))
	}

	return nil
}
