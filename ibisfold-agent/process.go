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

// process is one running agent.
type process struct {
	settings settings.Agent
	log      *log.Logger
	keys     *keyring.Keyring
	// self is the address that other processes use.
	self    netip.AddrPort
	started time.Time
	metrics *metrics.Set
	kernel  kernel.Kernel

	processes *udp.Socket
	target    *udp.Socket
	// view is replaced by the control goroutine and read by the traffic goroutine.
	view atomic.Pointer[agent.View]
	// digest and built describe the last view; the control goroutine owns them.
	digest ticket.Digest
	built  *[]uint64
	// former lists the services whose groups the core still needs.
	former   atomic.Pointer[[]uint64]
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
	p.former.Store(&[]uint64{})

	return p, p.register()
}

// clock is the process's monotonic clock.
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

// publish runs in the control goroutine. It builds a view only if the state or
// the services of interest changed; otherwise only the lease is new.
func (p *process) publish(c *mesh.Core) {
	old := p.view.Load()
	former := p.former.Load()
	v := *old
	if d := c.State().Digest(); d != p.digest || former != p.built {
		p.digest = d
		p.built = former
		v = *agent.BuildView(c.State(), p.settings.Name, *former...)
	}
	v.ConfirmedUntil = c.ConfirmedUntil()
	p.view.Store(&v)
	if v.Ticket != old.Ticket {
		p.log.Info("ticket in force", "ticket", v.Ticket)
	}
}

// run serves until SIGTERM and the end of the graceful shutdown.
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
