package agent

import (
	"net/netip"

	"ibisfold.example/core/packet"
)

// Command is an output of the core.
type Command interface{ isCommand() }

// SendTunnel sends a packet to an entry or a peer agent.
type SendTunnel struct {
	To     netip.AddrPort
	Header packet.Tunnel
	Packet packet.Packet
	// Body replaces Packet for the kinds that carry a load, a flow or an
	// acknowledgement.
	Body []byte
}

// SendTarget sends a packet to the target.
type SendTarget struct {
	Packet packet.Packet
}

// ReportSuspect tells the mesh that a peer agent of the service is silent.
type ReportSuspect struct {
	Target      uint64
	Incarnation uint64
}

// ReportAlive tells the mesh that a peer agent answers under an incarnation.
type ReportAlive struct {
	Target      uint64
	Incarnation uint64
}

// WatchServices lists the former services whose groups BuildView must add to
// further views, because this agent still has flows of them.
type WatchServices struct {
	Services []uint64
}

// Stopped reports that the graceful shutdown is complete.
type Stopped struct{}

func (SendTunnel) isCommand()    {}
func (SendTarget) isCommand()    {}
func (ReportSuspect) isCommand() {}
func (ReportAlive) isCommand()   {}
func (WatchServices) isCommand() {}
func (Stopped) isCommand()       {}
