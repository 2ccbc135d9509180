package main

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/agent"
	"ibisfold.example/core/control"
	"ibisfold.example/core/kernel"
	"ibisfold.example/core/mesh"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/udp"
)

// traffic owns the agent core. Its goroutine is the only one that calls it.
type traffic struct {
	process *process
	core    *agent.Core
	plane   *control.Plane

	processes *udp.Writer
	target    *udp.Writer
	view      *agent.View
	stopping  bool
	stopped   bool
	invalid   *metrics.Counter
	// counters is a copy of the core's counters for /metrics.
	counters   atomic.Pointer[agent.Counters]
	load       atomic.Pointer[admission.Load]
	histograms histograms
}

func newTraffic(p *process, c *agent.Core) *traffic {
	t := &traffic{
		process:   p,
		core:      c,
		processes: p.processes.NewWriter(),
		target:    p.target.NewWriter(),
		invalid:   p.metrics.NewCounter(`ibisfold_tunnel_dropped_total{reason="invalid"}`),
		histograms: histograms{
			set: p.metrics,
		},
	}
	t.counters.Store(&agent.Counters{})
	t.load.Store(&admission.Load{})
	t.registerMetrics(p.metrics)

	return t
}

// Run serves until the core says that the graceful shutdown is complete.
func (t *traffic) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	plane, err := kernel.Find[*control.Plane](&t.process.kernel, control.ServiceName)
	if err != nil {
		return err
	}
	t.plane = plane
	fromProcesses := make(chan udp.Batch)
	fromTarget := make(chan udp.Batch)
	g := &errgroup.Group{}
	g.Go(func() error {
		defer cancel()

		return t.process.processes.Pump(ctx, fromProcesses)
	})
	g.Go(func() error {
		defer cancel()

		return t.process.target.Pump(ctx, fromTarget)
	})
	t.serve(ctx, fromProcesses, fromTarget)
	cancel()

	return g.Wait()
}

func (t *traffic) serve(ctx context.Context, fromProcesses, fromTarget <-chan udp.Batch) {
	tick := time.NewTicker(agent.TickInterval)
	defer tick.Stop()

	for !t.stopped {
		select {
		case <-ctx.Done():
			return
		case b := <-fromProcesses:
			t.logError(b.Err)
			t.takeView()
			t.processBatch(b)
		case b := <-fromTarget:
			t.logError(b.Err)
			t.takeView()
			t.targetBatch(b)
		case <-tick.C:
			t.takeView()
			t.tick()
		}
		t.processes.Flush()
		t.target.Flush()
	}
}

// logError writes a line for an error of a socket that goes on.
func (t *traffic) logError(err error) {
	if err != nil {
		t.process.log.Warn("socket error", "error", err)
	}
}

// takeView passes on a new view before the packets that follow it, so that a
// packet is never judged by a view older than the last published one.
func (t *traffic) takeView() {
	v := t.process.view.Load()
	if v == t.view {
		return
	}
	t.view = v
	t.update(agent.ViewChanged{
		View: v,
	})
}

func (t *traffic) tick() {
	if t.process.stopping.Load() && !t.stopping {
		t.stopping = true
		t.update(agent.Stop{})
	}
	t.update(agent.Tick{})
	counters := t.core.Counters
	t.counters.Store(&counters)
	load := t.core.Load()
	t.load.Store(&load)
}

func (t *traffic) processBatch(b udp.Batch) {
	defer b.Done()

	for i := range b.Count {
		data, _ := b.Packet(i)
		if !packet.IsTunnel(data) {
			t.plane.HandleDatagram(data)

			continue
		}
		t.tunnel(data)
	}
}

func (t *traffic) tunnel(data []byte) {
	m := agent.FromTunnel{}
	body, err := m.Header.Decode(data, t.process.keys)
	if err != nil {
		t.invalid.Inc()

		return
	}
	if m.Header.Kind.HasPacket() {
		err = m.Packet.Decode(body)
	} else {
		m.Body = body
	}
	if err != nil {
		t.invalid.Inc()

		return
	}
	t.update(m)
}

func (t *traffic) targetBatch(b udp.Batch) {
	defer b.Done()

	if b.Refused {
		t.update(agent.TargetUnreachable{})
	}
	for i := range b.Count {
		data, _ := b.Packet(i)
		m := agent.FromTarget{}
		if err := m.Packet.Decode(data); err != nil {
			t.invalid.Inc()

			continue
		}
		t.update(m)
	}
}

func (t *traffic) update(m agent.Message) {
	for _, c := range t.core.Update(t.process.clock(), m) {
		t.execute(c)
	}
}

func (t *traffic) execute(c agent.Command) {
	switch c := c.(type) {
	case agent.SendTunnel:
		t.sendTunnel(&c)
	case agent.SendTarget:
		t.target.Add(c.Packet.Append(t.target.Next()), t.process.settings.Target)
	case agent.ReportSuspect:
		t.plane.Post(mesh.LocalSuspect{
			Target:      c.Target,
			Incarnation: c.Incarnation,
		})
	case agent.ReportAlive:
		t.plane.Post(mesh.LocalAlive{
			Target:      c.Target,
			Incarnation: c.Incarnation,
		})
	case agent.Observe:
		t.histograms.observe(c)
	case agent.WatchServices:
		t.process.former.Store(&c.Services)
	case agent.Stopped:
		t.stopped = true
	}
}

func (t *traffic) sendTunnel(c *agent.SendTunnel) {
	b := c.Header.Append(t.processes.Next(), t.process.keys)
	if c.Header.Kind.HasPacket() {
		b = c.Packet.Append(b)
	} else {
		b = append(b, c.Body...)
	}
	t.processes.Add(b, c.To)
}
