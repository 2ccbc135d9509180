package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// clockAhead is by how much the clock of the new machine is ahead until clockBackAfter. The
	// process itself is started again after that, so it only ever reads the right time.
	clockAhead = 2400 * time.Millisecond
	// oldDrains, flowsOpen and processesKilled count from the start of the new server.
	oldDrains       = 300 * time.Millisecond
	flowsOpen       = 900 * time.Millisecond
	processesKilled = 1950 * time.Millisecond
	// calmTime is the pause of the clients after the kill. All machines are in touch after
	// restartDelay and StableWindowMs, which is 4 s.
	calmTime = 6500 * time.Millisecond
	// clockFlows is the number of flows.
	clockFlows = 40
)

// clockBack shows that flows of a living server are reset after the clock of its machine was set
// back and processes were killed, although everything has been calm for longer than the stable
// window since.
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
	if err := b.startSide(1); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(oldDrains)))
	b.servers[0].register("draining")
	time.Sleep(time.Until(began.Add(flowsOpen)))
	flows := b.openFlows(clockFlows)
	time.Sleep(time.Until(began.Add(processesKilled)))
	if trouble {
		for _, p := range append([]*process{b.agents[1]}, b.entries...) {
			p.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(calmTime)
	resets := b.clients.resets.Load()
	b.useFlows(flows)
	resets = b.clients.resets.Load() - resets
	log.add("%d of %d open flows were reset after %v of calm; served %d, failed %d", resets, len(flows), calmTime-restartDelay,
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
