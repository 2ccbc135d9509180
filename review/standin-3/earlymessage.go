package main

import (
	"syscall"
	"time"
)

const (
	// maxRounds bounds how often the disruptions come. The case is decided once two processes have
	// ended by themselves minEnds times each.
	maxRounds = 6
	minEnds   = 3
	// longFlows is the number of clients with a long flow, shortFlows that of clients with a flow for
	// each request, requestPause the time between two requests of one client.
	longFlows    = 30
	shortFlows   = 200
	requestPause = 200 * time.Millisecond
	// freezeTime is how long a side machine stands still, outageTime how long the store is down.
	freezeTime = 3900 * time.Millisecond
	outageTime = 5200 * time.Millisecond
	// outageDelay and killDelay are the times from the begin of a freeze to the outage and the kill.
	outageDelay = 900 * time.Millisecond
	killDelay   = 1000 * time.Millisecond
	// settleTime is the time of calm after each round.
	settleTime = 8 * time.Second
)

// earlyMessage shows that an entry which has no catalog yet ends by itself on a message that an
// agent sent to the process before it.
func earlyMessage(log *record, bin, dir string, trouble bool) (bool, error) {
	b, err := newBed(log, bin, dir, 2, 3)
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.start(len(b.agents)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for n := range longFlows + shortFlows {
		go b.clients.run(n, n >= longFlows, b.route, requestPause, b.stop)
	}
	time.Sleep(3 * time.Second)
	broken := false
	for i := 0; i < maxRounds && !broken; i++ {
		if trouble {
			n := i % len(b.agents)
			b.disrupt(b.agents[n])
		} else {
			time.Sleep(outageDelay + outageTime)
		}
		broken = b.endedByThemselves(minEnds) >= 2
		time.Sleep(settleTime)
	}
	log.add("served %d, failed %d, reset %d", b.clients.served.Load(), b.clients.failed.Load(), b.clients.resets.Load())
	for _, p := range b.entries {
		log.add("%s ended by itself %d times", p.name, p.ownEnds)
	}

	return broken, nil
}

// endedByThemselves returns the number of machines whose process ended by itself n times.
func (b *bed) endedByThemselves(n int) int {
	count := 0
	for _, p := range append(append([]*process{}, b.agents...), b.entries...) {
		p.mu.Lock()
		if p.ownEnds >= n {
			count++
		}
		p.mu.Unlock()
	}

	return count
}

// disrupt freezes a side machine, and kills all entries while the store is down.
func (b *bed) disrupt(agent *process) {
	agent.signal(syscall.SIGSTOP)
	time.Sleep(outageDelay)
	b.log.add("the store is silent")
	b.store.setSilent(true)
	time.Sleep(killDelay - outageDelay)
	for _, e := range b.entries {
		e.signal(syscall.SIGKILL)
	}
	time.Sleep(freezeTime - killDelay)
	agent.signal(syscall.SIGCONT)
	time.Sleep(outageDelay + outageTime - freezeTime)
	b.store.setSilent(false)
	b.log.add("the store answers again")
}
