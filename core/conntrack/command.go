package conntrack

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Command is an output of Core.Update.
type Command interface {
	command()
}

// ToTarget passes a packet to the target.
type ToTarget struct {
	Packet []byte
}

// ToCaller passes a packet from the target to its caller.
type ToCaller struct {
	Key    segment.Key
	Packet []byte
}

// ToEntry sends a message to an entry.
type ToEntry struct {
	To      netip.AddrPort
	Message relay.Message
	// Bounced means that the target bounced Message.Packet, which has to be restored to
	// what its sender wrote.
	Bounced bool
}

// ToAgent sends a message to another agent.
type ToAgent struct {
	To      netip.AddrPort
	Message relay.Message
}

// CheckTarget asks for a TCP connection to the target. The kernel of the VM answers it, so that
// a target which gets no processor time differs from one that has ended. The result is a
// TargetChecked.
type CheckTarget struct{}

// Reset ends a flow by sending its caller a reset.
type Reset struct {
	Key segment.Key
	// Seq is the last sequence number that the caller acknowledged, so the reset lies
	// within its receive window.
	Seq uint32
}

// Note is a log record of a decision on a flow, or of a change in what is known of the
// target.
type Note struct {
	Decision Decision
	// Key identifies the flow; zero if the record concerns no flow.
	Key segment.Key
	// Entry is the entry that sent the packet, if any.
	Entry netip.AddrPort
	// Reason is the reason that the entry is told.
	Reason relay.Reason
	// Age is the time since the last packet from the target.
	Age time.Duration
	// Count is, depending on Decision, the number of unanswered packets, of queued flows, of
	// flows in a flow table, or of probes.
	Count int
	// TableAge is how long ago the flow table that was restored was written, by the VM's
	// clock.
	TableAge time.Duration
}

// Measured is a duration to record in a histogram.
type Measured struct {
	Measure Measure
	Time    time.Duration
}

// Measure identifies what a duration measures.
type Measure uint8

// Measures of an agent.
const (
	// AnswerTime is from a request to the first packet of the target's answer.
	AnswerTime Measure = iota
	// AcceptTime is from a SYN to the target's answer.
	AcceptTime
	// WaitTime is from the caller's first SYN until the SYN is passed to the target, for
	// queued flows only.
	WaitTime
	measures
)

var measureNames = [measures]string{
	AnswerTime: "target_answer",
	AcceptTime: "target_accept",
	WaitTime:   "flow_wait",
}

// MeasureNames returns the names of all measures, in the order of their values.
func MeasureNames() []string {
	return measureNames[:]
}

func (ToTarget) command()    {}
func (ToCaller) command()    {}
func (ToEntry) command()     {}
func (ToAgent) command()     {}
func (CheckTarget) command() {}
func (Reset) command()       {}
func (Note) command()        {}
func (Measured) command()    {}

// Decision identifies what was decided, for logs and counters.
type Decision uint8

// Decisions of a Note.
const (
	DecisionNone Decision = iota
	// Opened means that the target answered the SYN of a flow.
	Opened
	// Refused means that the target does not take a new flow.
	Refused
	// Waiting means that the target has no room for a new flow's request now, so its SYN
	// is queued.
	Waiting
	// NotHeld means that a packet other than a SYN was returned to its entry because the
	// target does not hold the flow or is down; Reason tells which.
	NotHeld
	// ProbesDenied means that the target bounced probes of an entry; Count is their number. The
	// entry logs what becomes of each flow.
	ProbesDenied
	// Adopted means that the target turned out to hold a flow that was not known to be
	// held, usually one from before the agent's start.
	Adopted
	// FlowLost means that the target no longer holds a flow that it held, and that the
	// flow was reset.
	FlowLost
	// TargetReset means that the target reset a flow while a request was in progress.
	TargetReset
	// TargetFresh means that nothing listens at the target's address, so the target holds no
	// flow that the agent does not know.
	TargetFresh
	// TargetSilent means that the target does not respond, and may be slow.
	TargetSilent
	// TargetDown means that nothing listens at the target's address.
	TargetDown
	// TargetBack means that the target responds again.
	TargetBack
	// HandedOver means that the flow table was sent to entries at a planned stop.
	HandedOver
	// Restored means that the flow table of an earlier process was restored. The target may
	// hold flows that the table lacks.
	Restored
	// RestoredIncomplete means that some parts of the flow table did not arrive.
	RestoredIncomplete
	// AllFlowsKnown means that the agent has observed its target long enough to know all
	// of its flows.
	AllFlowsKnown
	decisions
)

var decisionNames = [decisions]string{
	DecisionNone: "none",
	Opened:       "flow opened",
	Refused:      "flow refused",
	Waiting:      "flow waits for room at the target",
	NotHeld:      "packet returned: flow not held",
	ProbesDenied: "probes returned: flows not held",
	Adopted:      "flow adopted",
	FlowLost:     "flow reset: target no longer holds it",
	TargetReset:  "flow reset by target",
	TargetFresh:  "target has no earlier flows",
	TargetSilent: "target silent",
	TargetDown:   "target down",
	TargetBack:   "target back",

	HandedOver:         "flow table handed over",
	Restored:           "flow table restored",
	RestoredIncomplete: "flow table restored in part",
	AllFlowsKnown:      "all flows known: none is idle since the start",
}

// DecisionNames returns the names of all decisions, in the order of their values.
func DecisionNames() []string {
	return decisionNames[:]
}

// String returns the name of the decision as it appears in logs.
func (d Decision) String() string {
	if d >= decisions {
		return "invalid"
	}

	return decisionNames[d]
}
