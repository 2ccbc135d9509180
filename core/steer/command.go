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

// Send passes a message to an agent.
type Send struct {
	To      netip.AddrPort
	Message relay.Message
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
	// Agent is the agent that was chosen, asked or judged.
	Agent netip.AddrPort
	// Version is the version of the configuration that decided.
	Version uint64
	// Age is how long ago Agent was last heard.
	Age time.Duration
	// Count is the number of attempts or answers that decided, or of parts of a flow table.
	Count int
	// Reason is what the agent gave as its reason.
	Reason relay.Reason
	// Asked, Unsure and Unanswered are, at the end of a search, the numbers of agents
	// that were asked, that did not know, and that did not answer and are not known to
	// be gone; Tried is the number of packets that went on trial.
	Asked      int
	Unsure     int
	Unanswered int
	Tried      int
	// ListAge is, at the end of a search, how long ago the list of targets was
	// confirmed; negative if it never was.
	ListAge time.Duration
}

// Measured is a time for the histograms.
type Measured struct {
	Measure Measure
	Time    time.Duration
}

// Measure names what took a time.
type Measure uint8

// Measures of an entry.
const (
	// OpenTime: from a SYN to the word that a target answered it.
	OpenTime Measure = iota
	// SearchTime: from a packet of an unknown flow to the word of its owner.
	SearchTime
	// MissTime: from such a packet to the reset of a flow that no target holds.
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

func (*Send) command()    {}
func (Reset) command()    {}
func (Note) command()     {}
func (Measured) command() {}

// Decision names what was decided, for logs and counters.
type Decision uint8

// Decisions of a Note.
const (
	DecisionNone Decision = iota
	// Placed: a new flow was sent to a target.
	Placed
	// PlacedAgain: the target did not take it in time, another one was tried.
	PlacedAgain
	// NoRoute: no route has the address; the flow was reset.
	NoRoute
	// NoTarget: no target of the route can take the flow; it was reset.
	NoTarget
	// NoCatalog: the packet came before the first view; it was dropped.
	NoCatalog
	// SearchStarted: the owner of a flow is not known here.
	SearchStarted
	// SearchFound: an agent owns the flow.
	SearchFound
	// OnTrial: packets were passed to agents that are unsure, so that their targets decide.
	OnTrial
	// SearchOpen: not all agents answered, or the list of targets is not current; the
	// caller's next packet starts again.
	SearchOpen
	// SearchReplaced: the caller opens another flow with the same key.
	SearchReplaced
	// NotHeld: no target holds the flow; it was reset.
	NotHeld
	// OwnerGone: the flow's agent is silent or its target has left; it was reset.
	OwnerGone
	// AgentSilent: an agent no longer answers.
	AgentSilent
	// AgentBack: a silent agent answers again.
	AgentBack
	// AgentStopping: an agent announced its planned stop.
	AgentStopping
	// TableKept: an agent that stops handed its flow table over.
	TableKept
	// TableDropped: the table is not kept, for want of memory.
	TableDropped
	decisions
)

var decisionNames = [decisions]string{
	DecisionNone:   "none",
	Placed:         "flow placed",
	PlacedAgain:    "flow placed again",
	NoRoute:        "flow reset: no route",
	NoTarget:       "flow reset: no target",
	NoCatalog:      "packet dropped: no catalog yet",
	SearchStarted:  "owner search started",
	SearchFound:    "owner found",
	OnTrial:        "packet on trial",
	SearchOpen:     "owner search open",
	SearchReplaced: "owner search ended: flow opened anew",
	NotHeld:        "flow reset: held by no target",
	OwnerGone:      "flow reset: owner gone",
	AgentSilent:    "agent silent",
	AgentBack:      "agent back",
	AgentStopping:  "agent stopping",
	TableKept:      "flow table kept",
	TableDropped:   "flow table dropped: no memory",
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
