package packet

import (
	"encoding/binary"
	"net/netip"

	"ibisfold.example/core/keyring"
)

// TunnelKind is the receiver and the purpose of a tunnelled packet.
type TunnelKind uint8

// Kinds of tunnelled packets.
const (
	// ToAgent carries a caller's packet from an entry to an agent.
	ToAgent TunnelKind = iota + 1
	// ToEntry carries a packet for a caller from an agent to an entry.
	ToEntry
	// ToOwner carries a caller's packet from a previous owner of its flow to the
	// agent that the flow was handed over to.
	ToOwner
	// Offer moves a request that has not run to another agent.
	Offer
	// OfferAnswer carries the answer to an offered request or its refusal.
	OfferAnswer
	// OfferCancel withdraws an offered request.
	OfferCancel
	// Handover moves a flow to another agent.
	Handover
	// HandoverAck accepts or refuses a flow.
	HandoverAck
	// HandoverCommit tells the new owner that it owns the flow from now on.
	HandoverCommit
	// HandoverNext tells a previous owner that the flow has been handed over again.
	HandoverNext
	// HandoverDone tells the previous owner that the caller uses the new token.
	HandoverDone
	// Heartbeat carries an agent's Load to the other agents of its service.
	Heartbeat
	tunnelKinds
)

var tunnelKindNames = [tunnelKinds]string{
	ToAgent:        "to_agent",
	ToEntry:        "to_entry",
	ToOwner:        "to_owner",
	Offer:          "offer",
	OfferAnswer:    "offer_answer",
	OfferCancel:    "offer_cancel",
	Handover:       "handover",
	HandoverAck:    "handover_ack",
	HandoverCommit: "handover_commit",
	HandoverNext:   "handover_next",
	HandoverDone:   "handover_done",
	Heartbeat:      "heartbeat",
}

// String returns the kind's name as used in metrics.
func (k TunnelKind) String() string {
	if k == 0 || k >= tunnelKinds {
		return "unknown"
	}

	return tunnelKindNames[k]
}

const (
	// tunnelVersion is the first byte of every tunnelled packet.
	tunnelVersion = 0xB1
	// tunnelSignedBytes is the length in bytes of the part that the MAC covers.
	tunnelSignedBytes = 4 + 5*8 + 3*addrPortBytes
	// TunnelBytes is the length of an encoded tunnel header in bytes.
	TunnelBytes = tunnelSignedBytes + 8
)

// Tunnel is the header of a packet between two processes of the system. Its MAC
// covers only the header, because the payload belongs to the caller.
type Tunnel struct {
	Kind TunnelKind
	// Hops is the number of agents that have forwarded the packet.
	Hops uint8
	// Ticket is the highest ticket number that the sender holds.
	Ticket uint64
	// Service is the identity of the service that the packet is meant for.
	Service uint64
	// Target is the identity of the receiving agent's target; 0 if an entry receives.
	Target uint64
	// Incarnation identifies the start of the receiving agent; 0 if the sender does
	// not know it.
	Incarnation uint64
	// SenderIncarnation identifies the start of the sending agent; 0 if an entry sends.
	SenderIncarnation uint64
	// Sender is the sender's own address.
	Sender netip.AddrPort
	// Entry is the address of the entry that serves the caller.
	Entry netip.AddrPort
	// Caller is the source address of the caller's packet at the entry.
	Caller netip.AddrPort
}

// Append appends the header with its MAC to b. The body must be appended after it.
func (t *Tunnel) Append(b []byte, r *keyring.Keyring) []byte {
	start := len(b)
	b = append(b, tunnelVersion, r.Signer(), byte(t.Kind), t.Hops)
	b = binary.BigEndian.AppendUint64(b, t.Ticket)
	b = binary.BigEndian.AppendUint64(b, t.Service)
	b = binary.BigEndian.AppendUint64(b, t.Target)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.SenderIncarnation)
	b = appendAddrPort(b, t.Sender)
	b = appendAddrPort(b, t.Entry)
	b = appendAddrPort(b, t.Caller)
	mac, _ := r.Sum(keyring.UseTunnel, r.Signer(), b[start:])

	return binary.BigEndian.AppendUint64(b, mac)
}

// Decode decodes the header at the start of b and returns the body after it.
// Errors: ErrMalformed, ErrKind, ErrMAC.
func (t *Tunnel) Decode(b []byte, r *keyring.Keyring) ([]byte, error) {
	if len(b) < TunnelBytes || b[0] != tunnelVersion {
		return nil, ErrMalformed
	}
	if b[2] == 0 || b[2] >= byte(tunnelKinds) {
		return nil, ErrKind
	}
	mac := binary.BigEndian.Uint64(b[tunnelSignedBytes:])
	if !r.Verify(keyring.UseTunnel, b[1], b[:tunnelSignedBytes], mac) {
		return nil, ErrMAC
	}

	t.Kind = TunnelKind(b[2])
	t.Hops = b[3]
	t.Ticket = binary.BigEndian.Uint64(b[4:])
	t.Service = binary.BigEndian.Uint64(b[12:])
	t.Target = binary.BigEndian.Uint64(b[20:])
	t.Incarnation = binary.BigEndian.Uint64(b[28:])
	t.SenderIncarnation = binary.BigEndian.Uint64(b[36:])
	t.Sender = decodeAddrPort(b[44:])
	t.Entry = decodeAddrPort(b[44+addrPortBytes:])
	t.Caller = decodeAddrPort(b[44+2*addrPortBytes:])

	return b[TunnelBytes:], nil
}

// IsTunnel reports whether b starts like a tunnelled packet. Caller packets start
// with the tag of fieldKind instead, so both can share a socket.
func IsTunnel(b []byte) bool {
	return len(b) > 0 && b[0] == tunnelVersion
}

// HasPacket reports whether the body after the header is a Packet.
func (k TunnelKind) HasPacket() bool {
	switch k {
	case Handover, HandoverAck, HandoverCommit, HandoverNext, HandoverDone, Heartbeat:
		return false
	default:
		return true
	}
}
