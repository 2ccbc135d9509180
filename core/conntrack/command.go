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

// ToCaller passes a packet of the target to its caller.
type ToCaller struct {
	Key    segment.Key
	Packet []byte
}

// ToEntry answers an entry.
type ToEntry struct {
	To      netip.AddrPort
	Message relay.Message
	// Bounced means that Message.Packet has to be restored to what its sender wrote.
	Bounced bool
}

// Reset ends a flow towards its caller.
type Reset struct {
	Key segment.Key
	// Seq is within what the caller takes: what it acknowledged last.
	Seq uint32
}

// Note is a line for the log: a decision on a flow or a change of belief.
type Note struct {
	Decision Decision
	// Key is the flow's id; zero for a belief that concerns no flow.
	Key segment.Key
	// Entry is the entry that sent the packet, if any.
	Entry netip.AddrPort
	// Reason is what the entry is told.
	Reason relay.Reason
	// Age is how long ago the target was last heard.
	Age time.Duration
	// Count is the number of unanswered packets that decided, of flows that wait, or of
	// those in a flow table.
	Count int
	// TableAge is how long ago the process before wrote the flow table that was restored.
	TableAge time.Duration
}

// Measured is a time for the histograms.
type Measured struct {
	Measure Measure
	Time    time.Duration
}

// Measure names what took a time.
type Measure uint8

// Measures of an agent.
const (
	// AnswerTime: from a request to the first packet of the target's answer.
	AnswerTime Measure = iota
	// AcceptTime: from a SYN to the target's answer.
	AcceptTime
	// WaitTime: from a caller's first SYN to its way to the target, of those that waited.
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

func (ToTarget) command() {}
func (ToCaller) command() {}
func (ToEntry) command()  {}
func (Reset) command()    {}
func (Note) command()     {}
func (Measured) command() {}

// Decision names what was decided, for logs and counters.
type Decision uint8

// Decisions of a Note.
const (
	DecisionNone Decision = iota
	// Opened: the target answered the SYN of a flow.
	Opened
	// Refused: the target does not take a new flow.
	Refused
	// Waiting: the target has no room for a new flow's request now.
	Waiting
	// NotHeld: a packet of a flow that the target does not hold went back.
	NotHeld
	// Adopted: a packet of the target shows a flow from before the agent's start.
	Adopted
	// FlowLost: the target no longer holds a flow that it held; it was reset.
	FlowLost
	// TargetReset: the target reset a flow while a request was in progress.
	TargetReset
	// TargetFresh: the target started no earlier than the agent, so the agent knows
	// all its flows.
	TargetFresh
	// TargetDown: the target does not react.
	TargetDown
	// TargetBack: the target reacts again.
	TargetBack
	// HandedOver: the flow table went to entries at a planned stop.
	HandedOver
	// Restored: the flow table of the process before came back; all flows of the target
	// are known.
	Restored
	// RestoredUnsure: it came back in part, or that process did not know all flows.
	RestoredUnsure
	// Acquainted: the agent has run for so long that it knows all flows of its target.
	Acquainted
	decisions
)

var decisionNames = [decisions]string{
	DecisionNone: "none",
	Opened:       "flow opened",
	Refused:      "flow refused",
	Waiting:      "flow waits for room at the target",
	NotHeld:      "packet returned: flow not held",
	Adopted:      "flow adopted",
	FlowLost:     "flow reset: target no longer holds it",
	TargetReset:  "flow reset by target",
	TargetFresh:  "target has no earlier flows",
	TargetDown:   "target down",
	TargetBack:   "target back",

	HandedOver:     "flow table handed over",
	Restored:       "flow table restored",
	RestoredUnsure: "flow table restored: may lack flows",
	Acquainted:     "all flows known: none is idle since the start",
}

// DecisionNames returns the names of all decisions, in the order of their values.
func DecisionNames() []string {
	return decisionNames[:]
}

// String returns the decision as logs name it.
func (d Decision) String() string {
	if d >= decisions {
		return "invalid"
	}

	return decisionNames[d]
}
