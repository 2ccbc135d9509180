package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// quickDelay is the time after which processes are restarted in this case.
	quickDelay = 250 * time.Millisecond
	// serverDown is how long the server is down.
	serverDown = 1500 * time.Millisecond
	// quickOpen, quickKill, quickStop and quickUse count from the return of the server: when flows are
	// opened, when its agent is killed, when a frontend is stopped as planned, and when the flows are
	// used again. At the last of them all processes have run for longer than StableWindowMs, 4 s.
	quickOpen = 20 * time.Millisecond
	quickKill = 125 * time.Millisecond
	quickStop = 5 * time.Second
	quickUse  = 12 * time.Second
	// quickFlows is the number of flows.
	quickFlows = 40
)

// quickRestart shows that flows of a living server are reset during a planned restart of a frontend,
// seconds after the server came back from a crash and its agent was killed and restarted quickly.
func quickRestart(log *record, bin, dir string, trouble bool) (bool, error) {
	b, err := newBed(log, bin, dir, 2, 2)
	if err != nil {
		return false, err
	}
	defer b.close()
	for _, p := range append(append([]*process{}, b.agents...), b.entries...) {
		p.delay = quickDelay
	}
	if err := b.start(2); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond)
	b.servers[0].register("draining")
	time.Sleep(2 * time.Second)
	b.servers[1].keepID = true
	if trouble {
		b.servers[1].crash()
	}
	time.Sleep(serverDown)
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if trouble {
		if err := b.servers[1].start(); err != nil {
			return false, err
		}
	}
	at(quickOpen)
	flows := make(chan []*clientFlow)
	go func() { flows <- b.openFlows(quickFlows) }()
	at(quickKill)
	if trouble {
		b.agents[1].signal(syscall.SIGKILL)
	}
	list := <-flows
	at(quickStop)
	b.entries[1].signal(syscall.SIGTERM)
	at(quickUse)
	if err := b.awaitReady(time.Second); err != nil {
		return false, err
	}
	resets := b.clients.resets.Load()
	b.useFlows(list)
	resets = b.clients.resets.Load() - resets
	log.add("%d of %d open flows were reset; served %d, failed %d", resets, len(list),
		b.clients.served.Load(), b.clients.failed.Load())
	if len(list) < quickFlows/4 {
		return false, fmt.Errorf("only %d flows opened", len(list))
	}

	return resets > 0, nil
}
