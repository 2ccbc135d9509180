package mesh

import (
	"net/netip"
	"time"
)

// Command is an output of the core.
type Command interface{ isCommand() }

// Send sends a message to another process, by datagram if it is small enough
// and by jsonrpc2 otherwise.
type Send struct {
	To   netip.AddrPort
	Body Wire
}

// ReadConfig asks for one read of the configuration service. With Wait above
// zero it is a blocking query. The runtime answers with ConfigRead or ConfigFailed.
type ReadConfig struct {
	Wait time.Duration
}

// ListVMs asks for one read of the list of VMs.
type ListVMs struct{}

// Publish reports that the state, the suspects or the confirmation changed, so
// that the runtime builds new snapshots.
type Publish struct{}

func (Send) isCommand()       {}
func (ReadConfig) isCommand() {}
func (ListVMs) isCommand()    {}
func (Publish) isCommand()    {}
