package load

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

const (
	// payloadBytes is the length of a request's payload.
	payloadBytes = 128
	secret       = "000102030405060708090a0b0c0d0e0f"
	serviceAddr  = "127.3.0.1:80"
	serviceName  = "service"
	zoneName     = "zone"
	targetName   = "target"
)

const ticketText = `Ticket: 1
Reason: measure an entry
Zones:
  - Name: zone
    InService: true
Services:
  - Name: service
    Tenant: tenant
    Addresses: [127.3.0.1:80]
Targets:
  - Name: target
    Service: service
    Zone: zone
    Agent: %s
    Slots: 2
    Connections: 2000
`

const settingsText = `Zone: zone
Listen: %s
HTTP: %s
Consul: http://%s
Seeds: [%s]
Keys:
  - ID: 1
    Secret: %s
StopTimeout: 1s
Callers: %s
`

// addrs holds the addresses of the entry under test, of its configuration service and of the agent.
type addrs struct {
	listen  netip.AddrPort
	http    netip.AddrPort
	consul  netip.AddrPort
	callers netip.AddrPort
	agent   netip.AddrPort
}

// ticket returns a ticket with a single target, whose agent is the sink.
func (a *addrs) ticket() string {
	return fmt.Sprintf(ticketText, a.agent)
}

// writeSettings writes the settings of the entry under test to dir and returns their path.
func (a *addrs) writeSettings(dir string) (string, error) {
	path := filepath.Join(dir, "entry-1.yaml")
	text := fmt.Sprintf(settingsText, a.listen, a.http, a.consul, a.agent, secret, a.callers)

	return path, errors.Trace(os.WriteFile(path, []byte(text), 0o600))
}

// packets returns encoded requests of n flows, one for each flow, with tokens that route to the
// agent.
func (a *addrs) packets(n int, seed uint64) ([][]byte, error) {
	keys, err := keyring.New([]keyring.Key{{
		ID:     1,
		Secret: secret,
	}})
	if err != nil {
		return nil, errors.Trace(err)
	}

	r := rand.New(rand.NewPCG(seed, seed))
	packets := [][]byte{}
	for range n {
		p := packet.Packet{
			Kind:    packet.Request,
			Service: netip.MustParseAddrPort(serviceAddr),
			Flow:    r.Uint64() | 1,
			Request: 1,
			Tenant:  []byte("tenant"),
			Payload: make([]byte, payloadBytes),
		}
		p.Token = packet.Token{
			Agent:       a.agent,
			Service:     ticket.ID(serviceName),
			Zone:        ticket.ID(zoneName),
			Target:      ticket.ID(targetName),
			Incarnation: 1,
		}
		p.Token.Sign(keys, p.Flow)
		packets = append(packets, p.Append(nil))
	}

	return packets, nil
}
