package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playStoreFlow lets the store come back from a copy that is some seconds old. When the core is
// stable again, endpoints are added to zone-a, and clients of the zone open flows through its
// frontend that is a seed. Then this frontend is stopped and started as planned, and the
// flows' packets go through the other one.
func playStoreFlow(w *world) (string, error) {
	seed := w.addFrontend(0, 1, true)
	other := w.addFrontend(0, 2, false)
	w.addFrontend(1, 1, true)
	w.addFrontend(2, 1, true)
	for zone := range zones {
		for n := range 3 {
			m := w.addSide(zone, 11+n, "desk")
			if _, err := w.addEndpoint(m, fmt.Sprintf("i-%s-%d", zones[zone], n), 0); err != nil {
				return "", err
			}
		}
	}
	version := 7
	write := func() {
		w.writeConfig(version, []route{
			{deskAddress, "desk", 1500 + version},
		}, services)
	}
	write()
	if err := w.start(); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	old := w.store.copy()
	w.record("a copy of the store is made at revision %d", old.revision)
	for range 12 {
		time.Sleep(330 * time.Millisecond)
		version += 3
		write()
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.record("the store is away at revision %d", w.store.currentRevision())
		w.store.setAway(true)
		time.Sleep(500 * time.Millisecond)
		w.store.restore(old)
		w.record("the store is back from the copy at revision %d, in the next era", w.store.currentRevision())
		// What the operator wrote is written again.
		write()
	}

	// Longer than StableWindowMs, so that the core is stable again.
	time.Sleep(7 * time.Second)
	added := []*endpoint{}
	for n := range 2 {
		m := w.addSide(0, 21+n, "desk")
		m.bootstrap = false
		if err := m.start(); err != nil {
			return "", err
		}
		e, err := w.addEndpoint(m, fmt.Sprintf("i-%s-new-%d", zones[0], n), 0)
		if err != nil {
			return "", err
		}
		added = append(added, e)
	}
	w.record("two endpoints are added; the store is at revision %d", w.store.currentRevision())

	// Other frontends may not know the endpoints yet, so they get no flow for two seconds.
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	group := sync.WaitGroup{}
	for i := range 8 {
		c, err := newClient(w, 0, i+1)
		if err != nil {
			return "", err
		}
		f := w.openAt(c, seed, added)
		if f == nil {
			w.record("no flow of %v leads through %s to an endpoint that was added", c.addr, seed.name)
			continue
		}
		group.Go(func() {
			c.useFlow(f, stop)
		})
	}
	time.Sleep(500 * time.Millisecond)
	w.record("%s is stopped and started; its flows go through %s", seed.name, other.name)
	seed.signal(syscall.SIGTERM)
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()

	return "FLOW", nil
}

// maxOpenTries bounds the flows that a client opens in search of one that leads through a
// frontend to one of some endpoints.
const maxOpenTries = 40

func (w *world) openAt(c *client, through *machine, endpoints []*endpoint) *clientFlow {
	for i := range maxOpenTries {
		f := c.open(deskAddress)
		if f == nil {
			continue
		}
		if _, ok := c.request(f, fmt.Sprintf("first-%v-%d", c.addr, i)); !ok || f.entry != through {
			continue
		}
		for _, e := range endpoints {
			if e.holds(f.key, f.serverSeq) {
				return f
			}
		}
	}

	return nil
}

// useFlow sends requests on a flow until it ends or stop is closed.
func (c *client) useFlow(f *clientFlow, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-stop:
			return
		}
		if _, ok := c.request(f, fmt.Sprintf("long-%v-%d", c.addr, i)); !ok {
			return
		}
	}
}
