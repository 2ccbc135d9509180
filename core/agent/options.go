// Package agent decides for the agent beside a target: which flows and requests
// it admits, when it passes a request to the target, and when flows and
// requests move to the other agents of the service. It does no I/O: Core turns
// messages into commands.
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
	// Keys sign and verify tokens.
	Keys *keyring.Keyring
	// Seed makes the core's random choices repeatable.
	Seed uint64
	// StopTimeout bounds a graceful shutdown; zero means DefaultStopTimeout.
	StopTimeout time.Duration
	// IdleTimeout ends flows without a packet; zero means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// QueueMax bounds the waiting requests of a tenant; zero means
	// admission.DefaultQueueMax.
	QueueMax int
	// LongestWait bounds the estimated wait of a request, in mean service times;
	// zero means that only its deadline bounds it.
	LongestWait int
	// CacheTime and CacheBytes bound the cache of answers; zero means
	// DefaultCacheTime and DefaultCacheBytes.
	CacheTime  time.Duration
	CacheBytes int
}

// Defaults of Options.
const (
	// DefaultStopTimeout is how long a graceful shutdown may take.
	DefaultStopTimeout = 30 * time.Second
	// DefaultIdleTimeout is how long a flow lives without a packet.
	DefaultIdleTimeout = 10 * time.Minute
	// DefaultCacheTime is how long a lost answer can be repeated.
	DefaultCacheTime = 30 * time.Second
	// DefaultCacheBytes is the size of the cache of answers, in bytes. It is an
	// eighth of the 32 MB that a node may use for control work.
	DefaultCacheBytes = 4 << 20
)

func (o Options) withDefaults() Options {
	if o.StopTimeout == 0 {
		o.StopTimeout = DefaultStopTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.CacheTime == 0 {
		o.CacheTime = DefaultCacheTime
	}
	if o.CacheBytes == 0 {
		o.CacheBytes = DefaultCacheBytes
	}

	return o
}
