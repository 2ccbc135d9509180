package steer

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

// Send sends a message to an agent.
type Send struct {
	To      netip.AddrPort
	Message relay.Message
}

// CheckPort asks for a TCP connection to a port on which an agent's process listens, so that
// its VM tells whether the process is there. The result is a PortChecked.
type CheckPort struct {
	Agent netip.AddrPort
	// Other is an agent that was heard a moment ago. If nothing answers at Agent, a connection
	// to Other shows whether this VM can connect to agents; none is made if Other is the same.
	Other netip.AddrPort
}

// ConfirmList asks for a call to the configuration service that confirms the list of targets or
// tells what has changed. The result is a CatalogConfirmed or a CatalogChanged.
type ConfirmList struct{}

// Reset resets a flow towards its caller.
type Reset struct {
	Key segment.Key
	// Seq is the sequence number that the caller acknowledged last, which it accepts.
	Seq uint32
}

// Note is a log line: a decision on a flow, or a change of an agent's state.
type Note struct {
	Decision Decision
	// Key identifies the flow; zero if the note concerns no flow.
	Key segment.Key
	// Agent is the agent that was chosen or queried, or whose state changed.
	Agent netip.AddrPort
	// Version is the version of the configuration that was in force.
	Version uint64
	// Age is the time since a message of Agent last arrived.
	Age time.Duration
	// Count is the number of attempts, answers or unanswered queries on which the decision
	// rests, of parts of a flow table, or of flows that were reset.
	Count int
	// Reason is the reason that the agent gave.
	Reason relay.Reason
	// Evidence is what shows that Agent is gone, if the decision rests on that.
	Evidence Evidence
	// Port is the state of Agent's port, for SilentPortChecked.
	Port PortState
	// Service is the name of the service that the agent's target is expected to serve; empty
	// if the note is not about a SYN that was sent.
	Service string
	// Asked, Unsure and Unanswered are set at the end of a search: the numbers of agents
	// that were queried, that did not know, and that did not answer and are not presumed
	// gone. Tried is the number of probes that were sent.
	Asked      int
	Unsure     int
	Unanswered int
	Tried      int
	// ListAge is, at the end of a search, the time since the list of targets was confirmed;
	// negative if it never was.
	ListAge time.Duration
}

// Measured is a duration for the histograms.
type Measured struct {
	Measure Measure
	Time    time.Duration
}

// Measure identifies what was measured.
type Measure uint8

// Measures of an entry.
const (
	// OpenTime is from a SYN to the message that a target answered it.
	OpenTime Measure = iota
	// SearchTime is from a packet of an unknown flow to the answer of the flow's owner.
	SearchTime
	// MissTime is from a packet of an unknown flow to its reset because no target holds it.
	MissTime
	measures
)

var measureNames = [measures]string{
	OpenTime:   "flow_open",
	SearchTime: "owner_search",
	MissTime:   "owner_miss",
}

// MeasureNames returns the names of all measures, in the order of their values.
func MeasureNames() []string {
	return measureNames[:]
}

func (*Send) command()       {}
func (CheckPort) command()   {}
func (ConfirmList) command() {}
func (Reset) command()       {}
func (Note) command()        {}
func (Measured) command()    {}

// Decision identifies what was decided, for logs and counters.
type Decision uint8

// Decisions of a Note.
const (
	DecisionNone Decision = iota
	// Placed means that a new flow was sent to a target.
	Placed
	// PlacedAgain means that a target did not answer the SYN in time or refused it, and
	// that the SYN was sent to another one.
	PlacedAgain
	// SYNRepeated means that the SYN was sent once more to a target that already got it,
	// because no further target is left.
	SYNRepeated
	// SYNKept means that no target that got the SYN may open the flow any more, and that the
	// SYN waits for another one.
	SYNKept
	// NoRoute means that the flow was reset because no route has the service address.
	NoRoute
	// NoTarget means that the flow was reset because no target of the route can accept it.
	NoTarget
	// NoCatalog means that a packet was dropped because too many wait for the first
	// catalog.
	NoCatalog
	// ReturnedHeld means that an agent returned a packet before the first catalog, and that the
	// packet waits for it.
	ReturnedHeld
	// SearchStarted means that a packet of an unknown flow came and that the search for
	// the flow's owner began.
	SearchStarted
	// SearchFound means that an agent answered that its target holds the flow.
	SearchFound
	// ProbesSent means that a packet was sent to agents that are unsure, so that the
	// reactions of their targets show which one holds the flow.
	ProbesSent
	// SearchUnresolved means that the search ended without a result, because some agents
	// did not answer or the list of targets is not current. The caller's next packet starts
	// another search.
	SearchUnresolved
	// ConfirmationRequested means that no agent holds a flow, and that a confirmation of the
	// list was requested because the list is older than the flow's packet.
	ConfirmationRequested
	// SearchReplaced means that the search ended because the caller opened another flow
	// with the same key.
	SearchReplaced
	// NotHeld means that the flow was reset because no target holds it.
	NotHeld
	// OwnerGone means that the flow was reset because its agent has failed, or because its
	// target has ended or does not react.
	OwnerGone
	// AgentSilent means that an agent no longer answers queries.
	AgentSilent
	// SilentPortChecked means that the port of an agent that does not answer was checked and
	// has another state than before.
	SilentPortChecked
	// AgentBack means that a silent agent is heard again.
	AgentBack
	// LostAgentBack means that an agent is heard again whose flows were reset because
	// it was taken for gone. If its target lived, the resets were a mistake.
	LostAgentBack
	// AgentStopping means that an agent announced its planned stop.
	AgentStopping
	// TableKept means that an agent that stops handed over its flow table.
	TableKept
	// TableDropped means that a flow table was dropped to stay within the memory limit.
	TableDropped
	decisions
)

var decisionNames = [decisions]string{
	DecisionNone:     "none",
	Placed:           "flow placed",
	PlacedAgain:      "flow placed again",
	SYNRepeated:      "flow's SYN repeated",
	SYNKept:          "flow's SYN waits for a target",
	NoRoute:          "flow reset: no route",
	NoTarget:         "flow reset: no target",
	NoCatalog:        "packet dropped: no catalog yet",
	ReturnedHeld:     "returned packet held: no catalog yet",
	SearchStarted:    "owner search started",
	SearchFound:      "owner found",
	ProbesSent:       "packet on trial",
	SearchUnresolved: "owner search open",
	SearchReplaced:   "owner search ended: flow opened anew",

	ConfirmationRequested: "confirmation of the list requested",

	NotHeld:           "flow reset: held by no target",
	OwnerGone:         "flow reset: owner gone",
	AgentSilent:       "agent silent",
	SilentPortChecked: "port of silent agent checked",
	AgentBack:         "agent back",
	LostAgentBack:     "agent back after its flows were reset",
	AgentStopping:     "agent stopping",
	TableKept:         "flow table kept",
	TableDropped:      "flow table dropped: no memory",
}

// DecisionNames returns the names of all decisions, in the order of their values.
func DecisionNames() []string {
	return decisionNames[:]
}

// String returns the decision's name in logs.
func (d Decision) String() string {
	if d >= decisions {
		return "invalid"
	}

	return decisionNames[d]
}
