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

// traffic owns the agent core, which only the goroutine of Run calls.
type traffic struct {
	process *process
	core    *agent.Core
	plane   *control.Plane

	// processes and target write to the sockets of the same names in process.
	processes *udp.Writer
	target    *udp.Writer
	// view is the view that the core got last.
	view *agent.View
	// stopping means that the core was told to stop, stopped that it has finished.
	stopping bool
	stopped  bool
	invalid  *metrics.Counter
	// counters and load are copies of the core's counters and load for /metrics.
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

// Run implements kernel.Runner. It serves until the core reports that the graceful
// shutdown is complete.
func (t *traffic) Run(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
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
	err = g.Wait()
	if parent.Err() != nil {
		// The sockets may be closed before the cancellation has reached ctx.
		return nil
	}

	return err
}

func (t *traffic) serve(ctx context.Context, fromProcesses, fromTarget <-chan udp.Batch) {
	tick := time.NewTicker(agent.TickInterval)
	defer tick.Stop()

	for !t.stopped {
		select {
		case <-ctx.Done():
			return
		case b := <-fromProcesses:
			t.logSocketError(b.Err)
			t.applyView()
			t.handleProcessBatch(b)
		case b := <-fromTarget:
			t.logSocketError(b.Err)
			t.applyView()
			t.handleTargetBatch(b)
		case <-tick.C:
			t.applyView()
			t.tick()
		}
		t.processes.Flush()
		t.target.Flush()
	}
}

// logSocketError logs a transient error of a socket; nil is ignored.
func (t *traffic) logSocketError(err error) {
	if err != nil {
		t.process.log.Warn("socket error", "error", err)
	}
}

// applyView passes a new view to the core. It runs before each batch and tick, so that the
// core never handles a packet by an older view than the last published one.
func (t *traffic) applyView() {
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

func (t *traffic) handleProcessBatch(b udp.Batch) {
	defer b.Done()

	for i := range b.Count {
		data, _ := b.Packet(i)
		if !packet.IsTunnel(data) {
			t.plane.HandleDatagram(data)

			continue
		}
		t.handleTunnel(data)
	}
}

func (t *traffic) handleTunnel(data []byte) {
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

func (t *traffic) handleTargetBatch(b udp.Batch) {
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
		t.process.formerServices.Store(&c.Services)
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
