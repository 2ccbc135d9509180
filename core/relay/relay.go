// Package relay is the protocol between entries and agents for opaque flows.
// A message is a header of fixed layout, followed by a packet of the flow where
// the kind carries one.
package relay

import (
	"encoding/binary"

	"github.com/juju/errors"

	"ibisfold.example/core/segment"
)

// Kind says what a message asks or tells.
type Kind uint8

// Kinds of messages.
const (
	// Open carries a caller's SYN to the agent of the chosen target.
	Open Kind = iota + 1
	// Deliver carries any other packet to the agent that owns the flow.
	Deliver
	// Confirm is Deliver to an agent that got the flow's SYN: the answer tells
	// whether the caller chose its target.
	Confirm
	// Probe is Deliver to an agent that does not know whether its target holds
	// the flow: the target's reaction decides.
	Probe
	// Find asks an agent whether its target holds a flow.
	Find
	// FindMany is Find for the flows that Keys lists.
	FindMany
	// Answers tells an entry, for each flow of a FindMany, one of Owned, NotOwned
	// and Unsure.
	Answers
	// Accepted tells an entry that the target answered the SYN of an Open.
	Accepted
	// Owned tells an entry that the target holds the flow.
	Owned
	// NotOwned tells an entry that the target does not hold the flow.
	NotOwned
	// Unsure tells an entry that the agent started after the flow may have begun.
	Unsure
	// Returned hands a packet back to the entry: it was not delivered, or the
	// target bounced it. Reason says why.
	Returned
	// Stopping tells entries that the agent stops as planned: its silence does
	// not mean that its target is gone, unless Reason is ReasonTargetDown.
	Stopping
	// Handover gives an entry a part of the agent's flow table at its planned stop.
	Handover
	// HandoverOffer tells an agent that the entry has the flow table of its last stop.
	HandoverOffer
	// HandoverWanted asks an entry for parts of the flow table that it offered.
	HandoverWanted
	// HandoverDone tells an entry that the agent has no use for the flow table any more.
	HandoverDone
	// HandoverPart gives an agent a part of its flow table back.
	HandoverPart
	// Withdraw tells an agent that got the flow's SYN that another target answered it. It
	// carries no packet, so an agent that lost its flow table does not try its target.
	Withdraw
	kinds
)

var kindNames = [kinds]string{
	Open:     "open",
	Deliver:  "deliver",
	Confirm:  "confirm",
	Probe:    "probe",
	Find:     "find",
	FindMany: "find_many",
	Answers:  "answers",
	Accepted: "accepted",
	Owned:    "owned",
	NotOwned: "not_owned",
	Unsure:   "unsure",
	Returned: "returned",
	Stopping: "stopping",

	Handover:       "handover",
	HandoverOffer:  "handover_offer",
	HandoverWanted: "handover_wanted",
	HandoverDone:   "handover_done",
	HandoverPart:   "handover_part",
	Withdraw:       "withdraw",
}

// String returns the kind's name as used in logs.
func (k Kind) String() string {
	if k >= kinds || kindNames[k] == "" {
		return "invalid"
	}

	return kindNames[k]
}

// CarriesPacket reports whether messages of the kind hold a packet of their flow.
func (k Kind) CarriesPacket() bool {
	switch k {
	case Open, Deliver, Confirm, Probe, Returned:
		return true
	default:
		return false
	}
}

// Reason says why an agent returned a packet, or what state its target is in.
type Reason uint8

// Reasons of a returned packet and states of a target.
const (
	ReasonNone Reason = iota
	// ReasonNotHeld means that the target does not hold the flow.
	ReasonNotHeld
	// ReasonWrongService means that the target serves another service.
	ReasonWrongService
	// ReasonFull means that the target did not accept the flow.
	ReasonFull
	// ReasonCold means that the target has just started and has had its share.
	ReasonCold
	// ReasonTargetDown means that the target does not react.
	ReasonTargetDown
	reasons
)

var reasonNames = [reasons]string{
	ReasonNone:         "none",
	ReasonNotHeld:      "not_held",
	ReasonWrongService: "wrong_service",
	ReasonFull:         "full",
	ReasonCold:         "cold",
	ReasonTargetDown:   "target_down",
}

// String returns the reason's name as used in logs and metrics.
func (r Reason) String() string {
	if r >= reasons {
		return "invalid"
	}

	return reasonNames[r]
}

// HeaderBytes is the length of the header.
const HeaderBytes = 4 + 8 + 12 + 6 + 7

const version = 2

// Bits of the fourth byte.
const (
	flagUnstable = 1 << iota
	flagLeaving
)

// Sentinel errors of this package.
const (
	ErrShort   = errors.ConstError("message is shorter than its header")
	ErrVersion = errors.ConstError("message has another version")
	ErrKind    = errors.ConstError("message has an unknown kind")
	ErrKeys    = errors.ConstError("message has a list of flows that can't be read")
	ErrTable   = errors.ConstError("message has a part of a flow table that can't be read")
)

// Message is one datagram between an entry and an agent.
type Message struct {
	Kind   Kind
	Reason Reason
	// Service identifies, in Open, the service that the entry means.
	Service uint64
	// Born is, in Find, when the target started as the entry knows it, in Unix
	// milliseconds; zero if it does not. It takes the place of Service.
	Born int64
	Key  segment.Key
	// ColdRate is, in Open, the new flows that a cold target bears in a second,
	// times 10; zero is no bound.
	ColdRate uint16
	// Slots is, in Open, the number of requests that the target works on at once; zero
	// if it is not known.
	Slots uint16
	// Age is, in Open, how long ago the caller sent its first SYN of the flow, in
	// milliseconds.
	Age uint16
	// Timeout is, in Open, how long callers of the route wait for an answer, in
	// milliseconds; zero if it is not known.
	Timeout uint16
	// Priority is, in Open, that of the route; zero is the most urgent.
	Priority uint8
	// Load is, in messages of agents, the mean number of requests in progress at
	// the target, times 100.
	Load uint16
	// Unstable means, in messages of agents, that the target lost its flows a short
	// while ago and may do so again.
	Unstable bool
	// Leaving means, in messages of entries, that the target beside the agent is draining
	// or has left the list.
	Leaving bool
	// Flows is, in messages of agents, the number of flows lately in use.
	Flows uint16
	// Keys lists the flows of FindMany and Answers, and Found what is told of each in
	// Answers. At most MaxKeys.
	Keys  []segment.Key
	Found []Kind
	// Table is set in all messages about flow tables. Its ID takes the place of Service.
	Table *Table
	// Packet is the packet as its sender wrote it. It aliases the buffer that was decoded.
	Packet []byte
}

// Append encodes m to the end of b.
func (m *Message) Append(b []byte) []byte {
	b = append(b, version, byte(m.Kind), byte(m.Reason), 0)
	if m.Unstable {
		b[len(b)-1] |= flagUnstable
	}
	if m.Leaving {
		b[len(b)-1] |= flagLeaving
	}
	b = binary.LittleEndian.AppendUint64(b, m.subject())
	b = appendKey(b, m.Key)
	b = binary.LittleEndian.AppendUint16(b, m.ColdRate)
	b = binary.LittleEndian.AppendUint16(b, m.Load)
	b = binary.LittleEndian.AppendUint16(b, m.Flows)
	b = binary.LittleEndian.AppendUint16(b, m.Slots)
	b = binary.LittleEndian.AppendUint16(b, m.Age)
	b = binary.LittleEndian.AppendUint16(b, m.Timeout)
	b = append(b, m.Priority)

	return m.appendBody(b)
}

// subject returns the field that the kind has of Service, Born and Table.ID.
func (m *Message) subject() uint64 {
	switch {
	case m.Kind == Find, m.Kind == FindMany:
		return uint64(m.Born)
	case m.Table != nil:
		return uint64(m.Table.ID)
	default:
		return m.Service
	}
}

func (m *Message) setSubject(x uint64) {
	m.Service = 0
	m.Born = 0
	m.Table = nil
	switch {
	case m.Kind == Find, m.Kind == FindMany:
		m.Born = int64(x)
	case m.Kind.handsOver():
		m.Table = &Table{
			ID: int64(x),
		}
	default:
		m.Service = x
	}
}

// Decode reads a message. Errors: ErrShort, ErrVersion, ErrKind, ErrKeys, ErrTable.
func (m *Message) Decode(b []byte) error {
	if len(b) < HeaderBytes {
		return ErrShort
	}
	if b[0] != version {
		return ErrVersion
	}
	if b[1] == 0 || Kind(b[1]) >= kinds {
		return ErrKind
	}

	m.Kind = Kind(b[1])
	m.Reason = Reason(b[2])
	m.Unstable = b[3]&flagUnstable != 0
	m.Leaving = b[3]&flagLeaving != 0
	m.setSubject(binary.LittleEndian.Uint64(b[4:]))
	m.Key = decodeKey(b[12:])
	m.ColdRate = binary.LittleEndian.Uint16(b[24:])
	m.Load = binary.LittleEndian.Uint16(b[26:])
	m.Flows = binary.LittleEndian.Uint16(b[28:])
	m.Slots = binary.LittleEndian.Uint16(b[30:])
	m.Age = binary.LittleEndian.Uint16(b[32:])
	m.Timeout = binary.LittleEndian.Uint16(b[34:])
	m.Priority = b[36]

	return m.decodeBody(b[HeaderBytes:])
}
