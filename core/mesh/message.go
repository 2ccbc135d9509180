package mesh

import (
	"net/netip"
)

// Message is an input of the core.
type Message interface{ isMessage() }

// Tick drives timers; the runtime sends one every TickInterval.
type Tick struct{}

// Received is an authenticated message from another process.
type Received struct {
	From netip.AddrPort
	Body Wire
}

// ConfigRead carries the tickets that a read of the configuration service
// returned. Stale or repeated tickets are harmless.
type ConfigRead struct {
	Texts [][]byte
}

// ConfigFailed reports that the configuration service did not answer.
type ConfigFailed struct{}

// VMsListed carries the platform's list of VMs, which may be out of date.
type VMsListed struct {
	Nodes []Node
}

// LocalSuspect reports that the process's own agent suspects a target of its
// service.
type LocalSuspect struct {
	Target      uint64
	Incarnation uint64
}

// LocalAlive reports that a target's agent has answered the process's own
// agent.
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
