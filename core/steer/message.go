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

// CallerPacket is a packet that a caller sent. Packet is valid during Update only.
type CallerPacket struct {
	Segment segment.Segment
	Packet  []byte
}

// AgentMessage is a message of an agent.
type AgentMessage struct {
	From    netip.AddrPort
	Message relay.Message
	// Segment describes Message.Packet if the message carries one.
	Segment segment.Segment
}

// CatalogChanged brings a new view of routes and targets.
type CatalogChanged struct {
	Snapshot *catalog.Snapshot
	// Wall is the time of day in Unix milliseconds. It may be off by seconds; it only
	// tells which targets started lately.
	Wall int64
	// Confirmed means that the upstream has just confirmed the list of targets, as
	// CatalogConfirmed.
	Confirmed bool
	// Age is that of the confirmation, as in CatalogConfirmed.
	Age time.Duration
}

// CatalogConfirmed tells that the upstream has confirmed that the last view's list of
// targets is current.
type CatalogConfirmed struct {
	// Age is how long ago the configuration service itself said so.
	Age time.Duration
}

// Tick lets time pass. It comes every TickTime.
type Tick struct {
	// Behind means that messages may wait in the process's sockets which arrived before:
	// silence is no evidence then.
	Behind bool
}

func (*CallerPacket) message()    {}
func (*AgentMessage) message()    {}
func (CatalogChanged) message()   {}
func (CatalogConfirmed) message() {}
func (Tick) message()             {}
