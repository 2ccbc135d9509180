// Package mesh is the control plane of every process. Its core spreads tickets,
// repairs differences between nodes, samples peers, elects readers of the
// configuration service, spreads suspicions of targets, and detects pauses of
// the process. It does no I/O and writes no shared state.
package mesh

import (
	"net/netip"
	"time"

	"ibisfold.example/core/ticket"
)

// TickInterval is the time between two Tick messages.
const TickInterval = 100 * time.Millisecond

// Role is the kind of a process.
type Role uint8

// Roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleAgent
)

// Node describes a process of the system to others.
type Node struct {
	// Addr is the address for tunnelled packets, datagrams and jsonrpc2.
	Addr netip.AddrPort
	// Zone is the name of the availability zone.
	Zone string
	Role Role
	// Incarnation identifies one start; it increases with each start of a process.
	Incarnation uint64
}

// Options are the fixed inputs of a core.
type Options struct {
	Self Node
	// Seeds are addresses of other processes, tried while the view is empty or
	// no other address is known.
	Seeds []netip.AddrPort
	// Seed initializes the core's random generator, so that a run can be
	// repeated.
	Seed uint64
	// Parse and Compress replace ticket.Parse and Compress, so that simulations
	// of many nodes share the results; nil selects the originals.
	Parse    func(text []byte) (*ticket.Ticket, error)
	Compress func(text []byte) []byte
}

// Wire is a message between two cores; wire.go declares its types.
type Wire interface {
	isWire()
	// Bytes returns the length of the message on the wire with all headers, in
	// bytes.
	Bytes() int
}

// String returns the role's name as used in metrics and status.
func (r Role) String() string {
	switch r {
	case RoleEntry:
		return "entry"
	case RoleAgent:
		return "agent"
	default:
		return "unknown"
	}
}
