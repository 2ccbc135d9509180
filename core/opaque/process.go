// Package opaque is the common framework of the processes that serve opaque flows, which
// package segment describes. A single goroutine, the Loop, owns the state of a process;
// other goroutines read the sockets and watch the platform. The package decides what the
// Loop handles before each tick, and loads the policies of all decisions on opaque flows.
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

// maxQueuedCalls bounds the functions that are queued for the Loop. Post blocks while the
// queue is full.
const maxQueuedCalls = 64

// Process is the state that entries and agents for opaque flows have in common. Use New to
// create one.
type Process struct {
	Log     *eventlog.Log
	Metrics *metrics.Set
	Kernel  kernel.Kernel
	// Malformed counts datagrams that can't be decoded.
	Malformed *metrics.Counter
	// SocketErrors counts transient socket errors.
	SocketErrors *metrics.Counter
	// Panics counts the datagrams that were dropped because their handling failed.
	Panics *metrics.Counter

	panicLimit  panicLimit
	loopMetrics loopMetrics
	started     time.Time
	calls       chan func()
	ended       chan struct{}
	stopping    atomic.Bool
}

// New returns a process whose log lines carry name as their prefix.
func New(name string) *Process {
	p := &Process{
		Log:     eventlog.New(nil, name),
		Metrics: metrics.NewSet(),
		started: time.Now(),
		calls:   make(chan func(), maxQueuedCalls),
		ended:   make(chan struct{}),
	}
	p.Malformed = p.Metrics.NewCounter("ibisfold_packets_malformed_total")
	p.SocketErrors = p.Metrics.NewCounter("ibisfold_socket_errors_total")
	p.Panics = p.Metrics.NewCounter("ibisfold_panics_total")
	p.loopMetrics = newLoopMetrics(p.Metrics)

	return p
}

// Clock returns the time since the process was created, on the monotonic clock.
func (p *Process) Clock() time.Duration {
	return time.Since(p.started)
}

// Stopping reports whether a graceful shutdown has begun.
func (p *Process) Stopping() bool {
	return p.stopping.Load()
}

// Post queues f to run in the goroutine of the Loop. After the Loop has ended f does not run.
func (p *Process) Post(f func()) {
	select {
	case p.calls <- f:
	case <-p.ended:
	}
}

// Call runs f in the goroutine of the Loop and waits for it. It reports whether f has run; it
// has not if the Loop ended before. There is no timeout: a process that stood still would find
// it expired before the Loop could run f.
func (p *Process) Call(f func()) bool {
	done := make(chan struct{})
	p.Post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-p.ended:
	}
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Register adds services, and the log as the last of them, to the kernel.
func (p *Process) Register(services ...kernel.Service) error {
	services = append(services, kernel.Service{
		Name:  "log",
		Value: p.Log,
	})

	return p.Kernel.RegisterAll(services...)
}

// DecisionCounters returns a counter for each decision, in the order of names.
func (p *Process) DecisionCounters(names []string) []*metrics.Counter {
	list := []*metrics.Counter{}
	for _, n := range names {
		list = append(list, p.Metrics.NewCounter(`ibisfold_decisions_total{decision="`+n+`"}`))
	}

	return list
}

// Histograms returns a histogram in seconds for each measure, in the order of names.
func (p *Process) Histograms(names []string) []*metrics.Histogram {
	list := []*metrics.Histogram{}
	for _, n := range names {
		list = append(list, p.Metrics.NewHistogram("ibisfold_"+n+"_seconds"))
	}

	return list
}

// Run runs all services until term is done and stop has returned, or until a service ends.
// The services keep running while stop runs in its own goroutine.
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

// logSocketError counts and logs a transient socket error; nil is ignored.
func (p *Process) logSocketError(err error) {
	if err == nil {
		return
	}
	p.SocketErrors.Inc()
	p.Log.Info("socket error", "error", err)
}

// Input is a socket and the handler of its batches.
type Input struct {
	Socket *udp.Socket
	// Handle processes a batch and calls Done on it.
	Handle func(udp.Batch)
	// drainedAt is the time before which all arrived datagrams are known to be handled.
	drainedAt time.Time
}

// Loop owns the state of a process. Its Run handles batches, posted functions and ticks one
// at a time in a single goroutine, and calls Flush after each.
type Loop struct {
	Process *Process
	Inputs  []Input
	// TickTime is the interval between two calls of Tick.
	TickTime time.Duration
	// Tick advances the time of the state. Behind means that datagrams which arrived before
	// the tick may still be unhandled.
	Tick func(behind bool)
	// Flush sends the datagrams that were queued while a batch, a posted function or a tick
	// was handled.
	Flush func()
}

// Run implements kernel.Runner. It returns early if a socket fails. A socket that is closed
// because parent is done is no failure.
func (l *Loop) Run(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	defer close(l.Process.ended)

	batches := make(chan inputBatch)
	failed := make(chan error, len(l.Inputs))
	for n := range l.Inputs {
		i := &l.Inputs[n]
		go func() {
			failed <- i.Socket.Pump(ctx, i.tagBatches(ctx, batches))
		}()
	}
	tick := time.NewTicker(l.TickTime)
	defer tick.Stop()

	for {
		select {
		case b := <-batches:
			l.handle(b)
		case f := <-l.Process.calls:
			f()
		case due := <-tick.C:
			l.tick(due, batches)
		case err := <-failed:
			if parent.Err() != nil {
				// The cancellation may reach ctx after the socket has been closed.
				return nil
			}

			return err
		case <-ctx.Done():
			return nil
		}
		l.Flush()
	}
}

// inputBatch is a batch and the input that it arrived at.
type inputBatch struct {
	input *Input
	batch udp.Batch
}

// tagBatches returns a channel that forwards its batches to out, tagged with their input.
func (i *Input) tagBatches(ctx context.Context, out chan<- inputBatch) chan<- udp.Batch {
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
