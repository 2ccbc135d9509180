package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// clockAhead is by how much the clock of the new machine is ahead when its server starts. It is
	// right again before the agent's process is started anew, which so reads the right time.
	clockAhead = 2400 * time.Millisecond
	// oldDrains, flowsOpen, agentKilled, frontStopped and flowsUsed count from the start of the new
	// server. At the last of them all processes have run for longer than StableWindowMs, 4 s.
	oldDrains    = 300 * time.Millisecond
	flowsOpen    = 900 * time.Millisecond
	agentKilled  = 1950 * time.Millisecond
	frontStopped = 6500 * time.Millisecond
	flowsUsed    = 13500 * time.Millisecond
	// clockFlows is the number of flows.
	clockFlows = 40
)

// clockBack shows that flows of a living server are reset during a planned restart of a frontend,
// seconds after the clock of the server's machine was set back and the agent there was killed.
func clockBack(log *record, bin, dir string, trouble bool) (bool, error) {
	b, err := newBed(log, bin, dir, 2, 2)
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.start(1); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		b.servers[1].ahead = clockAhead
	}
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if err := b.startSide(1); err != nil {
		return false, err
	}
	at(oldDrains)
	b.servers[0].register("draining")
	at(flowsOpen)
	flows := b.openFlows(clockFlows)
	at(agentKilled)
	if trouble {
		b.agents[1].signal(syscall.SIGKILL)
	}
	at(frontStopped)
	b.entries[1].signal(syscall.SIGTERM)
	at(flowsUsed)
	if err := b.awaitReady(time.Second); err != nil {
		return false, err
	}
	resets := b.clients.resets.Load()
	b.useFlows(flows)
	resets = b.clients.resets.Load() - resets
	log.add("%d of %d open flows were reset; served %d, failed %d", resets, len(flows),
		b.clients.served.Load(), b.clients.failed.Load())
	if len(flows) < clockFlows/2 {
		return false, fmt.Errorf("only %d flows opened", len(flows))
	}

	return resets > 0, nil
}

// openFlows opens flows and makes one request on each.
func (b *bed) openFlows(count int) []*clientFlow {
	mu := sync.Mutex{}
	list := []*clientFlow{}
	group := sync.WaitGroup{}
	for n := range count {
		group.Go(func() {
			f, ok := b.clients.open(b.route)
			if ok && f.do(fmt.Sprintf("first-%d", n)) {
				mu.Lock()
				list = append(list, f)
				mu.Unlock()
			}
		})
	}
	group.Wait()

	return list
}

// useFlows makes one more request on each flow.
func (b *bed) useFlows(list []*clientFlow) {
	group := sync.WaitGroup{}
	n := atomic.Int64{}
	for _, f := range list {
		group.Go(func() {
			f.do(fmt.Sprintf("second-%d", n.Add(1)))
		})
	}
	group.Wait()
}
