package agent

import "ibisfold.example/core/packet"

// Message is an input of the core. Packets in messages are only valid during
// Update; the core copies what it keeps.
type Message interface{ isMessage() }

// FromTunnel is a packet from an entry or a peer agent whose header was
// verified.
type FromTunnel struct {
	Header packet.Tunnel
	// Packet is zero for Heartbeat and for the kinds of a handover, which use
	// Body.
	Packet packet.Packet
	// Body holds the encoded load, flow or acknowledgement of the kinds without a
	// packet.
	Body []byte
}

// FromTarget is a packet from the target.
type FromTarget struct {
	Packet packet.Packet
}

// TargetUnreachable reports that the target's address refused a packet.
type TargetUnreachable struct{}

// ViewChanged carries the view that the control thread built last.
type ViewChanged struct {
	View *View
}

// Tick drives timers; the runtime sends one every TickInterval.
type Tick struct{}

// Stop starts a graceful shutdown.
type Stop struct{}

func (FromTunnel) isMessage()        {}
func (FromTarget) isMessage()        {}
func (TargetUnreachable) isMessage() {}
func (ViewChanged) isMessage()       {}
func (Tick) isMessage()              {}
func (Stop) isMessage()              {}
