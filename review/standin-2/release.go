package main

import (
	"context"
	"syscall"
	"time"

	"ibisfold.example/core/ticket"
)

// Figures of the case. In each round the two endpoints of one of two services are replaced together
// while a frontend machine is frozen.
const (
	releaseClients = 60
	// releaseOthers is one in how many clients calls the other service.
	releaseOthers = 6
	releasePause  = 150 * time.Millisecond
	releaseSize   = 2
	releaseRounds = 4
	// startGap is the time between the starts of two new endpoints, and until the old ones drain.
	startGap = 100 * time.Millisecond
	// freezeDelay is how long after the first new endpoint's registration the machine freezes.
	freezeDelay = 20 * time.Millisecond
	// bootTime is how long a new machine and its node run before the application on it is up.
	bootTime = 5 * time.Second
	// freezeTime is how long the machine is frozen.
	freezeTime = 3 * time.Second
	// drainTime is how long a replaced endpoint goes on after it reported that it drains.
	drainTime = 3500 * time.Millisecond
	// calmTime is the time between a round's end and the next freeze.
	calmTime = 3 * time.Second
)

// runRelease checks FLOW while the endpoints of a service are replaced. With trouble, the frontend
// machine that another one gets its list of endpoints from is frozen meanwhile.
func runRelease(ctx context.Context, b *bed) error {
	b.router.mod = true
	b.addEntries(4)
	b.addEndpoints("kartendienst")
	current := b.addEndpoints("rufdienst")
	b.writeConfig(7, []configService{
		{
			Name:       "rufdienst",
			HealthPath: "/health",
			MaxConns:   2000,
		},
		{
			Name:       "kartendienst",
			HealthPath: "/health",
			MaxConns:   2000,
		},
	})
	if err := b.startAll(ctx); err != nil {
		return err
	}
	for i := range releaseClients {
		route := 0
		if i%releaseOthers == 0 {
			route = 1
		}
		c, err := b.addClient(b.routeAddress(route))
		if err != nil {
			return err
		}
		c.pause = releasePause
		go c.run(ctx)
	}
	for range releaseRounds {
		added, err := b.releaseRound(ctx, current)
		if err != nil {
			return err
		}
		current = added
	}
	b.summarize()

	return nil
}

// source returns the seed that the last frontend machine, which is no seed, follows. It is the one
// that its name selects.
func (b *bed) source() *machine {
	last := b.entries[len(b.entries)-1]

	return b.entries[ticket.ID(last.name)%uint64(len(last.seeds))]
}

// addEndpoints adds the endpoints of a service with their machines.
func (b *bed) addEndpoints(service string) []*endpoint {
	list := []*endpoint{}
	for range releaseSize {
		e := b.addSide(service, 7)
		e.work = 10 * time.Millisecond
		list = append(list, e)
	}

	return list
}

// releaseRound replaces the endpoints of one service and returns the new ones.
func (b *bed) releaseRound(ctx context.Context, old []*endpoint) ([]*endpoint, error) {
	added := b.addEndpoints("rufdienst")
	for _, e := range added {
		if err := e.machine.start(); err != nil {
			return nil, err
		}
	}
	sleep(ctx, bootTime+calmTime)
	b.rec.add("release: %d endpoints are replaced", releaseSize)
	for i, e := range added {
		if err := e.start(0); err != nil {
			return nil, err
		}
		if i == 0 && b.trouble {
			// The source has just told its followers of the first endpoint.
			sleep(ctx, freezeDelay)
			b.source().signal(syscall.SIGSTOP)
			b.judge(true)
		}
		sleep(ctx, startGap)
	}
	for _, e := range old {
		e.drain()
	}
	sleep(ctx, freezeTime-startGap)
	if b.trouble {
		b.judge(false)
		b.source().signal(syscall.SIGCONT)
	} else {
		b.judge(true)
	}
	sleep(ctx, drainTime-freezeTime+startGap)
	for _, e := range old {
		e.leave()
		e.machine.signal(syscall.SIGTERM)
	}

	return added, nil
}

// judge sets whether resets are judged. With trouble they are while the frozen machine stands
// still: then it can't be the one that sent them.
func (b *bed) judge(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judged = on
}
