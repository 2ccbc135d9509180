// Package control runs the control plane of a process: one goroutine, called the
// control goroutine, owns the mesh core, drives its timers and executes its commands.
// The package decides how the messages of the core are sent and received.
package control

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"ibisfold.example/core/mesh"
)

const (
	// inboxSize bounds the messages that wait for the control goroutine.
	inboxSize = 1024
	// listTimeout bounds one read of the list of VMs.
	listTimeout = 10 * time.Second
)

// Source reads tickets and the list of VMs from the platform.
type Source interface {
	// Tickets returns the texts of tickets that it has not returned before. With
	// wait above zero it waits up to that long for one to appear.
	Tickets(ctx context.Context, wait time.Duration) ([][]byte, error)
	// VMs returns the processes on the VMs of the list.
	VMs(ctx context.Context) ([]mesh.Node, error)
}

// Loop drives a mesh core. Set the exported fields before Run.
type Loop struct {
	Core *mesh.Core
	// Clock is the process's monotonic clock.
	Clock func() time.Duration
	// Send transmits a message to another process without blocking.
	Send func(to netip.AddrPort, m mesh.Wire)
	// Source is nil for a process without a configuration service.
	Source Source
	// Publish is called in the control goroutine after each change of the core.
	Publish func(c *mesh.Core)
	// Dropped counts the messages that were dropped because the inbox was full.
	Dropped atomic.Uint64

	// inbox holds the messages that Post queued.
	inbox chan mesh.Message
	// calls passes the functions of Do to the control goroutine.
	calls chan func(c *mesh.Core)
}

// New returns a loop whose inbox accepts messages before Run is called.
func New() *Loop {
	return &Loop{
		inbox: make(chan mesh.Message, inboxSize),
		calls: make(chan func(c *mesh.Core)),
	}
}

// Post queues a message for the core and never blocks. If the inbox is full, the
// message is dropped, and the protocol recovers as from any lost message.
func (l *Loop) Post(m mesh.Message) {
	select {
	case l.inbox <- m:
	default:
		l.Dropped.Add(1)
	}
}

// Do runs f in the control goroutine and waits for it. If ctx is done before f
// starts, Do returns the error of ctx.
func (l *Loop) Do(ctx context.Context, f func(c *mesh.Core)) error {
	done := make(chan struct{})
	call := func(c *mesh.Core) {
		f(c)
		close(done)
	}

	select {
	case l.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done

	return nil
}

// Run passes ticks and messages to the core until ctx is done.
func (l *Loop) Run(ctx context.Context) error {
	t := time.NewTicker(mesh.TickInterval)
	defer t.Stop()

	l.update(ctx, mesh.Tick{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l.update(ctx, mesh.Tick{})
		case m := <-l.inbox:
			l.update(ctx, m)
		case f := <-l.calls:
			f(l.Core)
		}
	}
}

// update passes a message to the core and executes the resulting commands.
func (l *Loop) update(ctx context.Context, m mesh.Message) {
	for _, c := range l.Core.Update(l.Clock(), m) {
		l.execute(ctx, c)
	}
}

func (l *Loop) execute(ctx context.Context, c mesh.Command) {
	switch c := c.(type) {
	case mesh.Send:
		l.Send(c.To, c.Body)
	case mesh.ReadConfig:
		go l.readConfig(ctx, c.Wait)
	case mesh.ListVMs:
		go l.listVMs(ctx)
	case mesh.Publish:
		l.Publish(l.Core)
	}
}

func (l *Loop) readConfig(ctx context.Context, wait time.Duration) {
	if l.Source == nil {
		l.Post(mesh.ConfigFailed{})

		return
	}

	texts, err := l.Source.Tickets(ctx, wait)
	if err != nil {
		l.Post(mesh.ConfigFailed{})

		return
	}
	// The source returns each ticket only once, so this message must not be dropped.
	select {
	case l.inbox <- mesh.ConfigRead{
		Texts: texts,
	}:
	case <-ctx.Done():
	}
}

func (l *Loop) listVMs(ctx context.Context) {
	if l.Source == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	nodes, err := l.Source.VMs(ctx)
	if err != nil {
		return
	}
	l.Post(mesh.VMsListed{
		Nodes: nodes,
	})
}
