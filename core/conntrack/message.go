package conntrack

import (
	"net/netip"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Message is an input of Core.Update.
type Message interface {
	message()
}

// EntryMessage is a message of an entry.
type EntryMessage struct {
	From    netip.AddrPort
	Message relay.Message
	// Segment describes Message.Packet if the message carries one.
	Segment segment.Segment
}

// TargetPacket is a packet that the target sent or bounced. Packet is valid
// during Update only.
type TargetPacket struct {
	Segment segment.Segment
	Packet  []byte
}

// TargetRefused means that nothing listens at the target's address.
type TargetRefused struct{}

// ServiceChanged names the service of the target beside the agent.
type ServiceChanged struct {
	Service uint64
}

// Stop announces that the process stops as planned.
type Stop struct {
	// TargetEnded means that nothing listens at the target's address any more.
	TargetEnded bool
}

// Tick lets time pass. It comes every TickTime.
type Tick struct {
	// Behind means that messages may wait in the process's sockets which arrived before:
	// silence is no evidence then.
	Behind bool
}

func (*EntryMessage) message()  {}
func (*TargetPacket) message()  {}
func (TargetRefused) message()  {}
func (ServiceChanged) message() {}
func (Stop) message()           {}
func (Tick) message()           {}
