// Package relay is the protocol between entries and agents for opaque flows, which package
// segment describes. A message is one datagram: a header of fixed layout, followed by a body
// that depends on the kind, such as a packet of the flow, a list of flows or a part of a flow
// table.
package relay

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"

	"ibisfold.example/core/segment"
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// Open carries a caller's SYN to the agent of the chosen target.
	Open Kind = iota + 1
	// Deliver carries any other packet to the agent that owns the flow.
	Deliver
	// Confirm is Deliver to an agent that received the flow's SYN. The answer, Owned or
	// Returned, tells whether the caller chose this agent's target.
	Confirm
	// Probe is Deliver to an agent that does not know whether its target holds the flow.
	// The target's reaction to the packet decides.
	Probe
	// Find asks an agent whether its target holds a flow. The answer is Owned, NotOwned or
	// Unsure.
	Find
	// FindMany is Find for all flows in Keys.
	FindMany
	// Answers tells an entry one of Owned, NotOwned and Unsure for each flow in Keys. It
	// answers a FindMany, or lookups that the agent deferred or now corrects.
	Answers
	// Accepted tells an entry that the target answered the SYN of an Open.
	Accepted
	// Owned tells an entry that the target holds the flow.
	Owned
	// NotOwned tells an entry that the target does not hold the flow.
	NotOwned
	// Unsure tells an entry that the agent does not know whether the target holds the
	// flow, for example because the flow may have begun before the agent started.
	Unsure
	// Returned returns a packet to the entry because it was not delivered or the target
	// bounced it. Reason says why.
	Returned
	// Stopping announces the planned stop of the agent to entries. The agent's silence then
	// does not mean that its target is down, unless Reason is ReasonTargetDown.
	Stopping
	// Handover gives an entry a part of the agent's flow table at a planned stop.
	Handover
	// HandoverOffer tells an agent that the entry has the flow table of the agent's last
	// planned stop.
	HandoverOffer
	// HandoverWanted requests parts of the flow table that an entry offered.
	HandoverWanted
	// HandoverDone tells an entry that the agent no longer needs the flow table.
	HandoverDone
	// HandoverPart returns a part of the flow table to the agent.
	HandoverPart
	// Withdraw tells an agent that received the flow's SYN that another target has answered
	// it. It carries no packet, so that an agent which has lost its flow table does not
	// probe its target.
	Withdraw
	// ProbeZone is Probe to several agents of one zone: the receiver also passes the packet
	// on to the agents in Forwards, each as a ForwardedProbe.
	ProbeZone
	// ForwardedProbe is Probe from the entry Origin, which gets the answer. Another agent
	// passed it on.
	ForwardedProbe
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
	ProbeZone:      "probe_zone",
	ForwardedProbe: "forwarded_probe",
}

// String returns the name of the kind in logs.
func (k Kind) String() string {
	if k >= kinds || kindNames[k] == "" {
		return "invalid"
	}

	return kindNames[k]
}

// CarriesPacket reports whether messages of the kind carry a packet of their flow.
func (k Kind) CarriesPacket() bool {
	switch k {
	case Open, Deliver, Confirm, Probe, Returned, ProbeZone, ForwardedProbe:
		return true
	default:
		return false
	}
}

// tellsProcess reports whether messages of the kind come from agents and tell their process.
func (k Kind) tellsProcess() bool {
	switch k {
	case Answers, Accepted, Owned, NotOwned, Unsure, Returned, Stopping:
		return true
	default:
		return false
	}
}

// isLookup reports whether messages of the kind ask for the owners of flows.
func (k Kind) isLookup() bool {
	return k == Find || k == FindMany
}

// Reason is why an agent returned a packet, or the state of its target in Stopping.
type Reason uint8

// Reasons of a Returned packet, and states of a target in Stopping.
const (
	ReasonNone Reason = iota
	// ReasonNotHeld means that the target does not hold the flow.
	ReasonNotHeld
	// ReasonWrongService means that the target serves another service.
	ReasonWrongService
	// ReasonFull means that the target did not accept the flow, or that its agent takes no
	// further flow now.
	ReasonFull
	// ReasonCold means that the target has just started and already received as many new
	// flows as ColdRate allows.
	ReasonCold
	// ReasonTargetDown means that the target does not respond, or has ended.
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

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if r >= reasons {
		return "invalid"
	}

	return reasonNames[r]
}

// HeaderBytes is the length of the header: version, kind, reason and flags of one byte
// each; the shared field; the key; ColdRate, Load and Flows; Slots, Age, Timeout and
// Priority.
const HeaderBytes = 4 + 8 + 12 + 6 + 7

// version is that of the protocol. Messages of other versions are rejected.
const version = 2

// Bits of the flags byte.
const (
	flagUnstable = 1 << iota
	flagLeaving
	flagStopping
)

// Sentinel errors of this package.
const (
	ErrShort   = errors.ConstError("message shorter than its header")
	ErrVersion = errors.ConstError("unsupported message version")
	ErrKind    = errors.ConstError("unknown message kind")
	ErrKeys    = errors.ConstError("malformed list of flows")
	ErrTable   = errors.ConstError("malformed flow table message")
)

// Message is one datagram between an entry and an agent. The kind determines which fields
// have a meaning.
type Message struct {
	Kind   Kind
	Reason Reason
	// Service is, in Open, the ID of the service that the entry expects at the target. It
	// shares its place in the header with Process and Table.ID.
	Service uint64
	// Process is, in messages from agents that are not about flow tables, a number that
	// differs between the processes of an agent; zero in those of earlier versions.
	Process uint64
	Key     segment.Key
	// ColdRate is, in Open, the rate of new flows that a cold target can take, in flows
	// per second times 10; zero means no limit.
	ColdRate uint16
	// Slots is, in Open, the number of requests that the target works on at once; zero if
	// it is not known.
	Slots uint16
	// Age is, in Open, how long ago the caller sent the flow's first SYN, in milliseconds.
	Age uint16
	// Timeout is, in Open, how long callers of the route wait for an answer, in
	// milliseconds; zero if it is not known.
	Timeout uint16
	// Priority is, in Open, the priority of the route; zero is the most urgent.
	Priority uint8
	// Load is, in messages from agents, the load of the target in requests, times 100: the
	// moving average of requests in progress, or the requests in progress, expected and
	// queued if these are more.
	Load uint16
	// Unstable means, in messages from agents, that the target has lost its flows recently
	// and may lose them again.
	Unstable bool
	// Leaving means, in messages from entries, that the agent's target is draining or has
	// left the catalog.
	Leaving bool
	// Stopping means, in messages from agents, that the agent sent the message after it had
	// announced its planned stop. An entry that missed the announcement, or that asks only
	// now, learns of the stop from it. Agents of earlier versions never set it.
	Stopping bool
	// Flows is, in messages from agents, the number of recently active flows.
	Flows uint16
	// Keys lists the flows of FindMany and Answers, at most MaxKeys. Ownership has, in
	// Answers, the answer for each of them: Owned, NotOwned or Unsure.
	Keys      []segment.Key
	Ownership []Kind
	// Table is set in all messages about flow tables.
	Table *Table
	// Forwards lists, in ProbeZone, the agents that the packet is passed on to, at most
	// MaxForwards.
	Forwards []netip.AddrPort
	// Origin is, in ForwardedProbe, the entry that probes.
	Origin netip.AddrPort
	// Packet is the packet as its sender wrote it. After Decode it aliases the decoded
	// buffer.
	Packet []byte
}

// Append appends the encoding of m to b.
func (m *Message) Append(b []byte) []byte {
	b = append(b, version, byte(m.Kind), byte(m.Reason), 0)
	if m.Unstable {
		b[len(b)-1] |= flagUnstable
	}
	if m.Leaving {
		b[len(b)-1] |= flagLeaving
	}
	if m.Stopping {
		b[len(b)-1] |= flagStopping
	}
	b = binary.LittleEndian.AppendUint64(b, m.sharedField())
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

// AnnouncesStop reports whether the message shows that its agent has announced its planned
// stop.
func (m *Message) AnnouncesStop() bool {
	return m.Stopping || m.Kind == Stopping
}

// sharedField returns the value of Service, Process or Table.ID, which share one field of the
// header. The kind determines which of them it is. Entries of earlier versions tell in lookups when
// the target started.
func (m *Message) sharedField() uint64 {
	switch {
	case m.Table != nil:
		return uint64(m.Table.ID)
	case m.Kind.tellsProcess():
		return m.Process
	default:
		return m.Service
	}
}

func (m *Message) setSharedField(x uint64) {
	m.Service = 0
	m.Process = 0
	m.Table = nil
	switch {
	case m.Kind.isLookup():
	case m.Kind.isHandover():
		m.Table = &Table{
			ID: int64(x),
		}
	case m.Kind.tellsProcess():
		m.Process = x
	default:
		m.Service = x
	}
}

// setCounts decodes ColdRate, Load, Flows and Slots. Lookups of earlier versions have another
// value in their place.
func (m *Message) setCounts(b []byte) {
	m.ColdRate, m.Load, m.Flows, m.Slots = 0, 0, 0, 0
	if m.Kind.isLookup() {
		return
	}
	m.ColdRate = binary.LittleEndian.Uint16(b)
	m.Load = binary.LittleEndian.Uint16(b[2:])
	m.Flows = binary.LittleEndian.Uint16(b[4:])
	m.Slots = binary.LittleEndian.Uint16(b[6:])
}

// Decode decodes a message. Errors: ErrShort, ErrVersion, ErrKind, ErrKeys, ErrTable,
// ErrAddresses.
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
	m.Stopping = b[3]&flagStopping != 0
	m.setSharedField(binary.LittleEndian.Uint64(b[4:]))
	m.Key = decodeKey(b[12:])
	m.setCounts(b[24:32])
	m.Age = binary.LittleEndian.Uint16(b[32:])
	m.Timeout = binary.LittleEndian.Uint16(b[34:])
	m.Priority = b[36]

	return m.decodeBody(b[HeaderBytes:])
}
