// Package mesh is the control plane of every process: it spreads tickets,
// repairs differences, samples peers, elects readers of the configuration
// service and detects pauses. It writes no shared state.
package mesh

import (
	"net/netip"
	"time"
)

// TickInterval is the time between two Tick messages.
const TickInterval = 100 * time.Millisecond

// Role says what a process does.
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
	// Seeds are addresses of other processes, tried until peers are known.
	Seeds []netip.AddrPort
	// Seed makes the core's random choices repeatable.
	Seed uint64
}

// Wire is a message between two cores. Its types are in wire.go.
type Wire interface{ isWire() }
