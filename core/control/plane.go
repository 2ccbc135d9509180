package control

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"ibisfold.example/core/consul"
	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
	"ibisfold.example/core/peer"
	"ibisfold.example/core/settings"
	"ibisfold.example/core/udp"
)

// ServiceName is the name under which a process registers its Plane in the kernel.
const ServiceName = "control"

// Plane is the control plane of a process. It connects a mesh core to the network,
// the configuration service and the metrics. Set the exported fields, then call Open
// or OpenAs before Run. It implements kernel.Runner.
type Plane struct {
	// Node describes this process to others; OpenAs sets it.
	Node mesh.Node
	// Name is shown by "ibisfold status"; if it is empty, the address is shown.
	Name     string
	Settings settings.Process
	Keys     *keyring.Keyring
	// Socket sends datagrams. The goroutine that reads it must pass the datagrams of
	// package peer to HandleDatagram.
	Socket *udp.Socket
	// Clock is the process's monotonic clock.
	Clock func() time.Duration
	// Publish is called in the control goroutine after each change of the core.
	Publish func(c *mesh.Core)
	Metrics *metrics.Set
	Log     *log.Logger
	// Source reads tickets and the list of VMs; OpenAs sets it.
	Source Source

	loop   *Loop
	server *peer.Server
	drops  peer.Drops
	gauges gauges
}

// OpenAs sets Node and Source from the settings, the role and the start time of the
// process, and calls Open.
func (p *Plane) OpenAs(role mesh.Role, started time.Time) error {
	p.Node = mesh.Node{
		Addr:        p.Settings.AdvertisedAddress(),
		Zone:        p.Settings.Zone,
		Role:        role,
		Incarnation: uint64(started.UnixNano()),
	}
	p.Source = &consul.Source{
		Watcher: consul.Watcher{
			Client: &consul.Client{
				URL: p.Settings.Consul,
			},
		},
	}

	return p.Open()
}

// Open binds the jsonrpc2 listener, builds the core and registers the metrics.
func (p *Plane) Open() error {
	l, err := net.Listen("tcp", p.Settings.Listen.String())
	if err != nil {
		return errors.Annotate(err, "listen")
	}

	p.loop = New()
	p.loop.Clock = p.Clock
	p.loop.Send = p.send
	p.loop.Source = p.Source
	p.loop.Publish = p.publish
	p.loop.Core = mesh.New(mesh.Options{
		Self:  p.Node,
		Seeds: p.Settings.Seeds,
		Seed:  p.Node.Incarnation,
	})
	p.server = peer.NewServer(l, p.Keys)
	p.server.Register(peer.MethodStatus, p.status)
	p.server.RegisterWire(func(m mesh.Received) {
		p.loop.Post(m)
	})
	p.gauges.register(p.Metrics, &p.drops, &p.server.Drops, p.loop)

	return nil
}

// Server returns the jsonrpc2 server of the process, which the caller must run.
func (p *Plane) Server() *peer.Server {
	return p.server
}

// Run runs the core until ctx is done.
func (p *Plane) Run(ctx context.Context) error {
	return p.loop.Run(ctx)
}

// Post queues a message for the core; see Loop.Post.
func (p *Plane) Post(m mesh.Message) {
	p.loop.Post(m)
}

// HandleDatagram decodes a datagram from another process and queues the message for
// the core. It counts and drops invalid datagrams.
func (p *Plane) HandleDatagram(data []byte) {
	m, err := peer.DecodeDatagram(data, p.Keys)
	if err != nil {
		p.drops.Count(err)

		return
	}
	p.loop.Post(m)
}

// send transmits a message in a datagram, or over jsonrpc2 if it is too long.
func (p *Plane) send(to netip.AddrPort, m mesh.Wire) {
	b, err := peer.AppendDatagram(nil, p.Node.Addr, m, p.Keys)
	if errors.Is(err, peer.ErrTooLong) {
		go p.sendLong(to, m)

		return
	}
	if err == nil {
		// The protocol recovers from a failed write as from any lost datagram.
		_ = p.Socket.WriteTo(b, to)
	}
}

func (p *Plane) sendLong(to netip.AddrPort, m mesh.Wire) {
	ctx, cancel := context.WithTimeout(context.Background(), peer.CallTimeout)
	defer cancel()

	// The receiver asks again if the message could not be sent.
	_ = peer.SendWire(ctx, p.Node.Addr, to, p.Keys, m)
}

func (p *Plane) publish(c *mesh.Core) {
	p.gauges.update(p.Clock(), c)
	p.Publish(c)
}

func (p *Plane) status(ctx context.Context, _ json.RawMessage) (any, error) {
	var s peer.Status

	err := p.loop.Do(ctx, func(c *mesh.Core) {
		s = peer.NewStatus(p.displayName(), p.Node, c)
	})

	return s, err
}

func (p *Plane) displayName() string {
	if p.Name != "" {
		return p.Name
	}

	return p.Node.Addr.String()
}
