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

// process is an entry for callers whose packets carry tokens. See opaqueEntry for the entry
// that serves opaque flows.
type process struct {
	settings settings.Entry
	log      *log.Logger
	keys     *keyring.Keyring
	// self is the address at which other processes reach this one.
	self    netip.AddrPort
	started time.Time
	metrics *metrics.Set
	kernel  kernel.Kernel

	// callers is the socket for callers' packets, processes the one for datagrams of
	// other processes.
	callers   *udp.Socket
	processes *udp.Socket
	// snapshot is replaced by the control goroutine and read by the traffic goroutines.
	snapshot atomic.Pointer[entry.Snapshot]
	// stopping is set at SIGTERM. The entry then reports itself as unhealthy but still
	// forwards packets.
	stopping atomic.Bool
	// lastPacket is when the last packet of a caller arrived, in nanoseconds of clock.
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

// clock returns the time since the process started, on the monotonic clock.
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

// publish stores a snapshot for the traffic goroutines; it runs in the control
// goroutine. It builds tables only if the state or the suspects have changed;
// otherwise it only renews the lease.
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

// run serves until SIGTERM. It then keeps forwarding until the fabric has stopped
// sending packets here, so that packets in flight to this entry are not lost.
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

// quietPeriod is how long no packet of a caller may have arrived before a stopping
// entry ends.
const quietPeriod = time.Second

// awaitQuiet returns when no packet of a caller has arrived for quietPeriod, or
// after the stop time from the settings.
func (p *process) awaitQuiet() {
	const pollInterval = 50 * time.Millisecond

	begin := p.clock()
	end := begin + p.settings.ShutdownTimeout()
	for now := begin; now < end; now = p.clock() {
		last := max(begin, time.Duration(p.lastPacket.Load()))
		if now-last >= quietPeriod {
			return
		}
		time.Sleep(pollInterval)
	}
}
