// Package opaque is the frame of the processes that serve opaque flows: one
// goroutine owns the state, others read sockets and the platform.
package opaque

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisfold.example/core/eventlog"
	"ibisfold.example/core/kernel"
	"ibisfold.example/core/udp"
)

// inboxCalls is the number of functions that may wait for the owner of the state.
const inboxCalls = 64

// Process is what all such processes have. New makes one.
type Process struct {
	Log     *eventlog.Log
	Metrics *metrics.Set
	Kernel  kernel.Kernel
	// Malformed counts datagrams that can't be read.
	Malformed *metrics.Counter
	// SocketErrors counts errors of sockets that did not end them.
	SocketErrors *metrics.Counter

	delays   delays
	started  time.Time
	calls    chan func()
	ended    chan struct{}
	stopping atomic.Bool
}

// New returns a process whose log lines carry a name.
func New(name string) *Process {
	p := &Process{
		Log:     eventlog.New(nil, name),
		Metrics: metrics.NewSet(),
		started: time.Now(),
		calls:   make(chan func(), inboxCalls),
		ended:   make(chan struct{}),
	}
	p.Malformed = p.Metrics.NewCounter("ibisfold_packets_malformed_total")
	p.SocketErrors = p.Metrics.NewCounter("ibisfold_socket_errors_total")
	p.delays = newDelays(p.Metrics)

	return p
}

// Clock is the process's monotonic clock.
func (p *Process) Clock() time.Duration {
	return time.Since(p.started)
}

// Stopping reports whether a graceful shutdown has begun.
func (p *Process) Stopping() bool {
	return p.stopping.Load()
}

// Post runs f in the goroutine that owns the state, unless that has ended.
func (p *Process) Post(f func()) {
	select {
	case p.calls <- f:
	case <-p.ended:
	}
}

// Register adds services, the log among them.
func (p *Process) Register(services ...kernel.Service) error {
	services = append(services, kernel.Service{
		Name:  "log",
		Value: p.Log,
	})

	return p.Kernel.RegisterAll(services...)
}

// DecisionCounters returns a counter for each decision by its name.
func (p *Process) DecisionCounters(names []string) []*metrics.Counter {
	list := []*metrics.Counter{}
	for _, n := range names {
		list = append(list, p.Metrics.NewCounter(`ibisfold_decisions_total{decision="`+n+`"}`))
	}

	return list
}

// Histograms returns a histogram of seconds for each measure by its name.
func (p *Process) Histograms(names []string) []*metrics.Histogram {
	list := []*metrics.Histogram{}
	for _, n := range names {
		list = append(list, p.Metrics.NewHistogram("ibisfold_"+n+"_seconds"))
	}

	return list
}

// Run runs all services until term is done and stop has returned. Stop runs in
// a goroutine of its own while the services go on.
func (p *Process) Run(term context.Context, stop func()) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go func() {
		<-term.Done()
		p.stopping.Store(true)
		stop()
		cancel()
	}()

	return p.Kernel.Run(ctx)
}

// logError writes a line for an error of a socket that goes on.
func (p *Process) logError(err error) {
	if err == nil {
		return
	}
	p.SocketErrors.Inc()
	p.Log.Info("socket error", "error", err)
}

// Input is a socket and what takes its batches. Take calls Done on each.
type Input struct {
	Socket *udp.Socket
	Take   func(udp.Batch)
	// emptied is a time before which all that arrived has been handled.
	emptied time.Time
}

// Loop owns the state until ctx is done. After each step flush runs.
type Loop struct {
	Process *Process
	Inputs  []Input
	// TickTime is the time between two calls of Tick.
	TickTime time.Duration
	// Tick lets time pass. Behind means that something may wait in the sockets that
	// arrived before.
	Tick  func(behind bool)
	Flush func()
}

// Run implements kernel.Runner.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(l.Process.ended)

	batches := make(chan inputBatch)
	failed := make(chan error, len(l.Inputs))
	for n := range l.Inputs {
		i := &l.Inputs[n]
		go func() {
			failed <- i.Socket.Pump(ctx, i.channel(ctx, batches))
		}()
	}
	tick := time.NewTicker(l.TickTime)
	defer tick.Stop()

	for {
		select {
		case b := <-batches:
			l.take(b)
		case f := <-l.Process.calls:
			f()
		case due := <-tick.C:
			l.tick(due, batches)
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
		l.Flush()
	}
}

// inputBatch is a batch with the input that it came by.
type inputBatch struct {
	input *Input
	batch udp.Batch
}

// channel returns a channel whose batches go on to out with their input.
func (i *Input) channel(ctx context.Context, out chan<- inputBatch) chan<- udp.Batch {
	in := make(chan udp.Batch)
	go func() {
		for {
			select {
			case b := <-in:
				select {
				case out <- inputBatch{
					input: i,
					batch: b,
				}:
				case <-ctx.Done():
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()

	return in
}
