package soak

import (
	"syscall"
	"time"
)

const (
	// catalogOutage is how long the store is silent in the order "entries without catalog".
	catalogOutage = 4 * time.Second
	// killDelay is the time from the start of the outage until the entries are killed.
	killDelay = 500 * time.Millisecond
	// wakeDelay is the time from the kill until the agents go on: the new processes run and have
	// no catalog yet.
	wakeDelay = 1500 * time.Millisecond
)

// killEntriesBesideFrozenAgents lets half of the agents stand still, and kills the entries of all
// zones while the store is silent. The agents go on while the new processes of the entries wait for
// their first catalog, and answer messages of the former ones.
func (b *testbed) killEntriesBesideFrozenAgents() {
	b.startOrder(func(o *order) {
		for _, v := range o.agents {
			pause(v, killDelay+wakeDelay)
		}
		b.store.SetSilent(true)
		b.mu.Lock()
		b.storeFaultEnd = time.Now().Add(catalogOutage)
		b.mu.Unlock()
		time.Sleep(killDelay)
		for _, v := range b.entries {
			kill(v)
		}
		time.Sleep(wakeDelay)
		for _, v := range b.entries {
			v.signal(syscall.SIGHUP)
		}
		time.Sleep(catalogOutage - killDelay - wakeDelay)
		b.store.SetSilent(false)
		time.Sleep(minUnimpairedTime + o.wait)
	})
}
