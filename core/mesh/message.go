package mesh

import (
	"net/netip"
)

// Message is an input of the core.
type Message interface{ isMessage() }

// Tick drives timers; the runtime sends one every TickInterval.
type Tick struct{}

// Received is an authenticated message of another process.
type Received struct {
	From netip.AddrPort
	Body Wire
}

// ConfigRead carries the tickets that a read of the configuration service
// returned. A stale or repeated value is harmless.
type ConfigRead struct {
	Texts [][]byte
}

// ConfigFailed tells that the configuration service did not answer.
type ConfigFailed struct{}

// VMsListed carries the platform's list of VMs, which lags.
type VMsListed struct {
	Nodes []Node
}

// LocalSuspect is the own agent's suspicion of a target of its service.
type LocalSuspect struct {
	Target      uint64
	Incarnation uint64
}

// LocalAlive is the own agent's evidence that a target's agent answers.
type LocalAlive struct {
	Target      uint64
	Incarnation uint64
}

func (Tick) isMessage()         {}
func (Received) isMessage()     {}
func (ConfigRead) isMessage()   {}
func (ConfigFailed) isMessage() {}
func (VMsListed) isMessage()    {}
func (LocalSuspect) isMessage() {}
func (LocalAlive) isMessage()   {}
