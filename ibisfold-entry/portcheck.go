package main

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"ibisfold.example/core/steer"
)

const (
	// connectTimeout bounds a connection attempt. It exceeds the round trip to another zone.
	connectTimeout = 100 * time.Millisecond
	// maxPortChecks bounds the checks that run at the same time, and those that wait. The core
	// asks again for one that is dropped.
	maxPortChecks = 64
)

// portChecker checks the ports of agents for the core. Use newPortChecker to create one.
type portChecker struct {
	// port is the port on which the process of every agent listens.
	port uint16
	// report gets each result, in any goroutine.
	report  func(steer.PortChecked)
	waiting chan steer.CheckPort
}

func newPortChecker(port uint16, report func(steer.PortChecked)) *portChecker {
	return &portChecker{
		port:    port,
		report:  report,
		waiting: make(chan steer.CheckPort, maxPortChecks),
	}
}

// check queues a check without blocking; it is dropped if too many wait.
func (p *portChecker) check(c steer.CheckPort) {
	select {
	case p.waiting <- c:
	default:
	}
}

// Run implements kernel.Runner.
func (p *portChecker) Run(ctx context.Context) error {
	g := errgroup.Group{}
	g.SetLimit(maxPortChecks)
	for {
		select {
		case c := <-p.waiting:
			g.Go(func() error {
				p.report(p.run(ctx, c))

				return nil
			})
		case <-ctx.Done():
			return g.Wait()
		}
	}
}

func (p *portChecker) run(ctx context.Context, c steer.CheckPort) steer.PortChecked {
	r := steer.PortChecked{
		Agent: c.Agent,
		State: p.connect(ctx, c.Agent.Addr()),
	}
	if r.State == steer.PortSilent && c.Other.IsValid() && c.Other != c.Agent {
		r.OtherState = p.connect(ctx, c.Other.Addr())
	}

	return r
}

// connect opens a connection and closes it at once.
func (p *portChecker) connect(ctx context.Context, to netip.Addr) steer.PortState {
	d := net.Dialer{
		Timeout: connectTimeout,
	}
	c, err := d.DialContext(ctx, "tcp4", netip.AddrPortFrom(to, p.port).String())
	if err == nil {
		c.Close()

		return steer.PortAccepted
	}
	timeout := net.Error(nil)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return steer.PortRefused
	case ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, syscall.EHOSTUNREACH):
		return steer.PortSilent
	}

	return steer.PortUnknown
}
