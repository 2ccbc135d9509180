package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Message is an input of Core.Update.
type Message interface {
	message()
}

// CallerPacket is a packet that a caller sent. Packet is valid only during Update.
type CallerPacket struct {
	Segment segment.Segment
	Packet  []byte
}

// AgentMessage is a message that an agent sent.
type AgentMessage struct {
	From    netip.AddrPort
	Message relay.Message
	// Segment describes Message.Packet if the message carries one.
	Segment segment.Segment
}

// CatalogChanged carries a new snapshot of routes and targets.
type CatalogChanged struct {
	Snapshot *catalog.Snapshot
	// Wall is the time of day in Unix milliseconds. It may be off by seconds, as it only
	// serves to determine which targets started lately.
	Wall int64
	// Confirmed means that the upstream has just confirmed the list of targets, as with
	// CatalogConfirmed.
	Confirmed bool
	// Age and MaxAge are those of the confirmation, as in CatalogConfirmed.
	Age    time.Duration
	MaxAge time.Duration
}

// CatalogConfirmed tells that the upstream, the configuration service or another entry, has
// confirmed that the list of targets in the last snapshot is current.
type CatalogConfirmed struct {
	// Age is the time since the configuration service itself confirmed the list.
	Age time.Duration
	// MaxAge is an upper bound on the time since the service made its answer, however long
	// that was under way or waited for a process that stood still.
	MaxAge time.Duration
}

// PortChecked is the result of a CheckPort.
type PortChecked struct {
	Agent netip.AddrPort
	State PortState
	// OtherState is the state of the port of the other agent, which was checked after that of
	// Agent if nothing answered there.
	OtherState PortState
}

// Tick advances time. It comes every TickTime.
type Tick struct {
	// Behind means that messages that have already arrived may wait in the process's
	// sockets, so an agent's silence does not show that it is unavailable.
	Behind bool
}

func (*CallerPacket) message()    {}
func (*AgentMessage) message()    {}
func (CatalogChanged) message()   {}
func (CatalogConfirmed) message() {}
func (PortChecked) message()      {}
func (Tick) message()             {}
