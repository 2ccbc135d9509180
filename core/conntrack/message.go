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

// EntryMessage is a message from an entry.
type EntryMessage struct {
	From    netip.AddrPort
	Message relay.Message
	// Segment describes Message.Packet if the message carries one.
	Segment segment.Segment
}

// TargetPacket is a packet that the target sent or bounced. Packet is valid only during
// Update.
type TargetPacket struct {
	Segment segment.Segment
	Packet  []byte
}

// TargetRefused means that nothing listens at the target's address.
type TargetRefused struct{}

// TargetChecked is the result of a CheckTarget.
type TargetChecked struct {
	// Refused means that nothing listens at the target's address.
	Refused bool
}

// ServiceConfirmed reports the service that the target beside the agent belongs to now.
type ServiceConfirmed struct {
	Service uint64
}

// TargetLeaves announces that the process stops once its target, which is leaving, has ended.
// From then on the target gets no new flow: what listens at its address later may be another
// target.
type TargetLeaves struct{}

// Stop announces a planned stop of the process.
type Stop struct {
	// TargetEnded means that nothing listens at the target's address any more.
	TargetEnded bool
}

// BatchEnd reports that no message of those that arrived together is left. It is due after each
// batch with which Core.HasDenials becomes true.
type BatchEnd struct{}

// Tick reports that time has passed. It is due every TickTime.
type Tick struct {
	// Behind means that messages which arrived before this Tick may still wait in the
	// process's sockets, so that silence does not show that the target is down.
	Behind bool
}

func (*EntryMessage) message()    {}
func (*TargetPacket) message()    {}
func (TargetRefused) message()    {}
func (TargetChecked) message()    {}
func (ServiceConfirmed) message() {}
func (TargetLeaves) message()     {}
func (Stop) message()             {}
func (BatchEnd) message()         {}
func (Tick) message()             {}
