package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// clockAhead is how far the clocks of some machines are ahead for a while.
	clockAhead = 2400 * time.Millisecond
	// busyFlows is the number of flows of each endpoint that are in use all the while.
	busyFlows = 6
)

// playClockStep lets one endpoint of each zone crash and come back under its id, while the
// clock of its machine is ahead. The clock steps back, and the node beside the endpoint is
// stopped and started. More than StableWindowMs later clients go on using flows that were
// opened before the stop.
func playClockStep(w *world) (string, error) {
	for zone := range zones {
		w.addFrontend(zone, 1, true)
		w.addFrontend(zone, 2, false)
		w.addFrontend(zone, 3, false)
	}
	chosen := []*endpoint{}
	for zone := range zones {
		for n := range 3 {
			m := w.addSide(zone, 51+n, "desk")
			e, err := w.addEndpoint(m, fmt.Sprintf("i-%s-%d", zones[zone], n), 0)
			if err != nil {
				return "", err
			}
			if n == 0 {
				chosen = append(chosen, e)
			}
		}
	}
	w.writeConfig(7, []route{
		{deskAddress, "desk", 1500},
	}, services)
	if err := w.start(); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	group := sync.WaitGroup{}
	failed := make(chan error, len(chosen))
	for zone, e := range chosen {
		group.Go(func() {
			// The nodes are stopped one at a time.
			time.Sleep(time.Duration(zone) * rollGap)
			if err := w.stepClock(zone, e); err != nil {
				failed <- err
			}
		})
	}
	group.Wait()
	select {
	case err := <-failed:
		return "", err
	default:
		return "FLOW", nil
	}
}

// stepClock plays the case in one zone.
func (w *world) stepClock(zone int, e *endpoint) error {
	m := e.machine
	ahead := time.Duration(0)
	if w.trouble {
		ahead = clockAhead
	}
	w.record("endpoint %s crashes; the clock of %s is ahead by %v", e.id, m.name, ahead)
	e.stop()
	time.Sleep(2500 * time.Millisecond)
	e, err := w.addEndpoint(m, e.id, ahead)
	if err != nil {
		return err
	}
	back := time.Now()

	// All clients open flows, until shortly before the node's stop.
	mu := sync.Mutex{}
	flows := []heldFlow{}
	group := sync.WaitGroup{}
	for i := range clientsOfZone {
		c, err := newClient(w, zone, i+1)
		if err != nil {
			return err
		}
		group.Go(func() {
			for n := 0; time.Since(back) < 1900*time.Millisecond; n++ {
				f := c.open(deskAddress)
				if f == nil {
					continue
				}
				if _, ok := c.request(f, fmt.Sprintf("first-%s-%d-%d", zones[zone], i, n)); ok && e.holds(f.key, f.serverSeq) {
					mu.Lock()
					flows = append(flows, heldFlow{
						client: c,
						flow:   f,
						usedAt: time.Now(),
					})
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	w.record("the clock of %s is right again", m.name)
	group.Wait()
	w.record("%s holds %d flows", e.id, len(flows))

	busy, idle := map[*client]bool{}, []heldFlow{}
	stop := make(chan struct{})
	for _, h := range flows {
		switch {
		case busy[h.client]:
		case len(busy) < busyFlows:
			busy[h.client] = true
			group.Go(func() {
				h.client.keepBusy(h.flow, stop)
			})
		default:
			busy[h.client] = true
			idle = append(idle, h)
		}
	}
	time.Sleep(time.Until(back.Add(2 * time.Second)))
	m.signal(syscall.SIGTERM)
	time.Sleep(7 * time.Second)
	close(stop)
	for i, h := range idle {
		group.Go(func() {
			h.client.request(h.flow, fmt.Sprintf("idle-%s-%d", zones[zone], i))
		})
	}
	group.Wait()

	return nil
}

// keepBusy sends requests on a flow until it ends.
func (c *client) keepBusy(f *clientFlow, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-stop:
			return
		}
		if _, ok := c.request(f, fmt.Sprintf("busy-%v-%d", c.addr, i)); !ok {
			return
		}
	}
}

// countsAsReset reports whether a reset of a flow while a request was unanswered breaks the
// rule: requests on busy flows are sent while their machine is not in touch.
func countsAsReset(id string) bool {
	return !strings.HasPrefix(id, "busy-")
}
