package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Bounds from the settings file of the users' pages.
const (
	evacuateTime = 5000 * time.Millisecond
	configTime   = 3000 * time.Millisecond
)

var (
	deskAddress  = netip.MustParseAddrPort("127.240.0.1:8443")
	sheetAddress = netip.MustParseAddrPort("127.240.0.2:8443")
	services     = []string{"desk", "sheet"}
)

// playStoreCopy lets the store come back from a copy that is some seconds old. When the core
// is stable again, the operator empties zone-a, and moves a route in one more version.
func playStoreCopy(w *world) (string, error) {
	// Three of the four frontends are seeds, as in the smaller of the users' deployments.
	w.addFrontend(0, 1, true)
	w.addFrontend(0, 2, false)
	w.addFrontend(1, 1, true)
	w.addFrontend(2, 1, true)
	for zone := range zones {
		for n, service := range []string{"desk", "desk", "sheet"} {
			m := w.addSide(zone, 11+n, service)
			if _, err := w.addEndpoint(m, fmt.Sprintf("i-%s-%d", zones[zone], n), 0); err != nil {
				return "", err
			}
		}
	}
	version := 7
	write := func(timeout int, sheetService string) bool {
		version += 3

		return w.writeConfig(version, []route{
			{deskAddress, "desk", timeout},
			{sheetAddress, sheetService, timeout},
		}, services)
	}
	write(1500, "sheet")
	if err := w.start(); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	stop := make(chan struct{})
	clients, err := w.startClients(stop, 4)
	if err != nil {
		return "", err
	}

	// A storm of versions, each with other time-outs.
	time.Sleep(2 * time.Second)
	old := w.store.copy()
	w.record("a copy of the store is made at revision %d", old.revision)
	for i := range 12 {
		time.Sleep(330 * time.Millisecond)
		write(1500+10*i, "sheet")
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.record("the store is away at revision %d", w.store.currentRevision())
		w.store.setAway(true)
		time.Sleep(500 * time.Millisecond)
		w.store.restore(old)
		w.record("the store is back from the copy at revision %d, in the next era", w.store.currentRevision())
		// What the operator wrote is written again.
		version -= 3
		write(1500+10*11, "sheet")
	}

	// Longer than StableWindowMs, so that the core is stable again.
	time.Sleep(7 * time.Second)
	revision, ok := w.store.put("op/evacuate/"+zones[0], []byte("{}"))
	evacuated := time.Now()
	w.record("operator writes op/evacuate/%s: accepted %v, revision %d", zones[0], ok, revision)
	time.Sleep(2 * time.Second)
	write(1500, "desk")
	moved := time.Now()
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()

	w.checkEvacuated(0, evacuated)
	w.mu.Lock()
	openings := w.openings
	w.mu.Unlock()
	for _, o := range openings {
		if o.key.Service() == sheetAddress && o.endpoint.machine.service == "sheet" && o.sent.Sub(moved) > configTime {
			w.violate("CONFIG", "flow %v through %s was taken by the old service %.1f s after the ack of the version that moved the route", o.key, o.entry.name,
				o.sent.Sub(moved).Seconds())
		}
	}

	return "EVAC", nil
}

// startClients starts n clients in each zone that open a flow for each request, until stop is
// closed.
func (w *world) startClients(stop <-chan struct{}, n int) (*sync.WaitGroup, error) {
	group := &sync.WaitGroup{}
	for zone := range zones {
		for i := range n {
			c, err := newClient(w, zone, i+1)
			if err != nil {
				return nil, err
			}
			group.Go(func() {
				c.runShort(stop, []netip.AddrPort{deskAddress, sheetAddress})
			})
		}
	}

	return group, nil
}

// shortPause is the time between two flows of a client.
const shortPause = 150 * time.Millisecond

// runShort opens a flow for each request.
func (c *client) runShort(stop <-chan struct{}, to []netip.AddrPort) {
	for i := 0; ; i++ {
		select {
		case <-time.After(shortPause):
		case <-stop:
			return
		}
		if f := c.open(to[i%len(to)]); f != nil {
			c.request(f, fmt.Sprintf("%v-%d", c.addr, i))
		}
	}
}
