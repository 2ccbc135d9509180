package main

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"ibisfold.example/core/control"
	"ibisfold.example/core/entry"
	"ibisfold.example/core/kernel"
	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
	"ibisfold.example/core/settings"
	"ibisfold.example/core/udp"
	"ibisfold.example/core/web"
)

// process is one running entry.
type process struct {
	settings settings.Entry
	log      *log.Logger
	keys     *keyring.Keyring
	// self is the address that other processes use.
	self    netip.AddrPort
	started time.Time
	metrics *metrics.Set
	kernel  kernel.Kernel

	callers   *udp.Socket
	processes *udp.Socket
	// snapshot is replaced by the control goroutine and read by traffic goroutines.
	snapshot atomic.Pointer[entry.Snapshot]
	// stopping is set at SIGTERM: the entry is unhealthy but forwards on.
	stopping atomic.Bool
	// lastPacket is the clock at the last packet of a caller, in nanoseconds.
	lastPacket atomic.Int64
}

func newProcess(s settings.Entry, l *log.Logger) (*process, error) {
	keys, err := keyring.New(s.Keys)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	callers, err := udp.Listen(s.Callers)
	if err != nil {
		return nil, errors.Annotate(err, "callers")
	}
	processes, err := udp.Listen(s.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "processes")
	}

	p := &process{
		settings:  s,
		log:       l,
		keys:      keys,
		self:      s.AdvertisedAddress(),
		started:   time.Now(),
		metrics:   metrics.NewSet(),
		callers:   callers,
		processes: processes,
	}
	p.snapshot.Store(&entry.Snapshot{})

	return p, p.register()
}

// clock is the process's monotonic clock.
func (p *process) clock() time.Duration {
	return time.Since(p.started)
}

func (p *process) register() error {
	plane := &control.Plane{
		Settings: p.settings.Process,
		Keys:     p.keys,
		Socket:   p.processes,
		Clock:    p.clock,
		Publish:  p.publish,
		Metrics:  p.metrics,
		Log:      p.log,
	}
	if err := plane.OpenAs(mesh.RoleEntry, p.started); err != nil {
		return err
	}
	up := &upstream{
		process: p,
	}
	down := &downstream{
		process: p,
	}
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
			Name:  "upstream",
			Value: up,
		},
		kernel.Service{
			Name:  "downstream",
			Value: down,
		},
		kernel.Service{
			Name: "sockets",
			Value: &udp.Closer{
				Sockets: []*udp.Socket{p.callers, p.processes},
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
	return !p.stopping.Load() && p.clock() < p.snapshot.Load().ConfirmedUntil
}

// publish runs in the control goroutine. It builds tables only if the state or
// the suspects changed; otherwise only the lease is new.
func (p *process) publish(c *mesh.Core) {
	old := p.snapshot.Load()
	until := c.ConfirmedUntil()
	if old.Matches(c.State().Digest(), c.Suspects()) {
		p.snapshot.Store(old.Renew(until))

		return
	}
	p.snapshot.Store(entry.Build(c.State(), c.Suspects()).Renew(until))
	if n := c.State().Highest(); n != old.Ticket {
		p.log.Info("ticket in force", "ticket", n)
	}
}

// run serves until SIGTERM, then forwards on until the fabric has stopped
// sending: packets in flight to this entry are not lost.
func (p *process) run(term context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go func() {
		<-term.Done()
		p.stopping.Store(true)
		p.log.Info("graceful shutdown started")
		p.awaitQuiet()
		cancel()
	}()
	p.log.Info("entry started", "address", p.self, "zone", p.settings.Zone)
	err := p.kernel.Run(ctx)
	p.log.Info("entry stopped")

	return err
}

// quietTime is how long no caller's packet may arrive before a stopping entry ends.
const quietTime = time.Second

func (p *process) awaitQuiet() {
	const poll = 50 * time.Millisecond

	begin := p.clock()
	end := begin + p.settings.ShutdownTimeout()
	for now := begin; now < end; now = p.clock() {
		last := max(begin, time.Duration(p.lastPacket.Load()))
		if now-last >= quietTime {
			return
		}
		time.Sleep(poll)
	}
}
