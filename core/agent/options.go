// Package agent holds the decisions of the process beside a target: it owns
// flows and requests, admits work and moves it to the other agents of a service.
package agent

import (
	"net/netip"
	"time"

	"ibisfold.example/core/keyring"
)

// TickInterval is the time between two Tick messages.
const TickInterval = 20 * time.Millisecond

// Options are the fixed inputs of a core.
type Options struct {
	// Self is the address that entries and peers use for this agent.
	Self netip.AddrPort
	// Name is the target's name as tickets give it.
	Name string
	// Incarnation identifies this start of the agent; it increases with each start.
	Incarnation uint64
	// Keys sign tokens.
	Keys *keyring.Keyring
	// Seed makes the core's random choices repeatable.
	Seed uint64
	// StopTimeout bounds a graceful shutdown; zero means DefaultStopTimeout.
	StopTimeout time.Duration
}

// DefaultStopTimeout is how long a graceful shutdown may take.
const DefaultStopTimeout = 30 * time.Second
