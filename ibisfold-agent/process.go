package main

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"ibisfold.example/core/agent"
	"ibisfold.example/core/control"
	"ibisfold.example/core/kernel"
	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
	"ibisfold.example/core/settings"
	"ibisfold.example/core/ticket"
	"ibisfold.example/core/udp"
	"ibisfold.example/core/web"
)

// process is an agent for callers whose packets carry tokens. See opaqueAgent for the agent
// that serves opaque flows.
type process struct {
	settings settings.Agent
	log      *log.Logger
	keys     *keyring.Keyring
	// self is the address at which other processes reach this one.
	self    netip.AddrPort
	started time.Time
	metrics *metrics.Set
	kernel  kernel.Kernel

	// processes is the socket for datagrams of other processes, target the one connected
	// to the target.
	processes *udp.Socket
	target    *udp.Socket
	// view is replaced by the control goroutine and read by the traffic goroutine.
	view atomic.Pointer[agent.View]
	// viewDigest and viewFormerServices are the digest of the state and the former services
	// that the last view was built from. The control goroutine owns them.
	viewDigest         ticket.Digest
	viewFormerServices *[]uint64
	// formerServices lists the target's former services whose groups the core still needs,
	// as in agent.WatchServices.
	formerServices atomic.Pointer[[]uint64]
	// stopping is set at SIGTERM. The agent then reports itself as unhealthy, and the traffic
	// goroutine starts the graceful shutdown.
	stopping atomic.Bool
}

func newProcess(s settings.Agent, l *log.Logger) (*process, error) {
	keys, err := keyring.New(s.Keys)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	processes, err := udp.Listen(s.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "processes")
	}
	target, err := udp.Dial(s.Target.Addr(), s.Target)
	if err != nil {
		return nil, errors.Annotate(err, "target")
	}

	p := &process{
		settings:  s,
		log:       l,
		keys:      keys,
		self:      s.AdvertisedAddress(),
		started:   time.Now(),
		metrics:   metrics.NewSet(),
		processes: processes,
		target:    target,
	}
	p.view.Store(&agent.View{})
	p.formerServices.Store(&[]uint64{})

	return p, p.register()
}

// clock returns the time since the process started, on the monotonic clock.
func (p *process) clock() time.Duration {
	return time.Since(p.started)
}

func (p *process) register() error {
	plane := &control.Plane{
		Name:     p.settings.Name,
		Settings: p.settings.Process,
		Keys:     p.keys,
		Socket:   p.processes,
		Clock:    p.clock,
		Publish:  p.publish,
		Metrics:  p.metrics,
		Log:      p.log,
	}
	if err := plane.OpenAs(mesh.RoleAgent, p.started); err != nil {
		return err
	}
	core := agent.New(agent.Options{
		Self:        p.self,
		Name:        p.settings.Name,
		Incarnation: plane.Node.Incarnation,
		Keys:        p.keys,
		Seed:        plane.Node.Incarnation,
		StopTimeout: p.settings.ShutdownTimeout(),
	})

	return p.kernel.RegisterAll(
		kernel.Service{
			Name:  control.ServiceName,
			Value: plane,
		},
		kernel.Service{
			Name:  "rpc",
			Value: plane.Server(),
		},
		kernel.Service{
			Name:  "traffic",
			Value: newTraffic(p, core),
		},
		kernel.Service{
			Name: "sockets",
			Value: &udp.Closer{
				Sockets: []*udp.Socket{p.processes, p.target},
			},
		},
		kernel.Service{
			Name: "http",
			Value: &web.Server{
				Addr:    p.settings.HTTP,
				Healthy: p.healthy,
				Metrics: p.metrics,
			},
		},
	)
}

func (p *process) healthy() bool {
	v := p.view.Load()

	return !p.stopping.Load() && v.Known && p.clock() < v.ConfirmedUntil
}

// publish stores a view for the traffic goroutine; it runs in the control goroutine.
// It builds the view only if the state or the former services have changed; otherwise
// it only renews the lease.
func (p *process) publish(c *mesh.Core) {
	old := p.view.Load()
	formerServices := p.formerServices.Load()
	v := *old
	if d := c.State().Digest(); d != p.viewDigest || formerServices != p.viewFormerServices {
		p.viewDigest = d
		p.viewFormerServices = formerServices
		v = *agent.BuildView(c.State(), p.settings.Name, *formerServices...)
	}
	v.ConfirmedUntil = c.ConfirmedUntil()
	p.view.Store(&v)
	if v.Ticket != old.Ticket {
		p.log.Info("ticket in force", "ticket", v.Ticket)
	}
}

// run serves until the graceful shutdown that SIGTERM starts is complete.
func (p *process) run(term context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	context.AfterFunc(term, func() {
		p.stopping.Store(true)
		p.log.Info("graceful shutdown started")
	})
	p.log.Info("agent started", "address", p.self, "target", p.settings.Name)
	err := p.kernel.Run(ctx)
	p.log.Info("agent stopped")

	return err
}
