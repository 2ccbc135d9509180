package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ibisfold.example/core/segment"
)

const (
	// rollGap is the time between two stops in a zone.
	rollGap = 1200 * time.Millisecond
	// rolls is the number of stops in each zone.
	rolls = 5
	// clientsOfZone is the number of clients in each zone, flowsOfClient the number of flows
	// that each of them holds open.
	clientsOfZone = 12
	flowsOfClient = 460
	// sidesOfZone is the number of endpoints in each zone.
	sidesOfZone = 3
)

// idleLimit is the idle time beyond which the rule for flows no longer holds: IdleTimeoutMs.
const idleLimit = 15 * time.Second

// heldFlow is an idle flow of a client.
type heldFlow struct {
	client *client
	flow   *clientFlow
	usedAt time.Time
}

// playNewFrontends adds the spare frontend of each zone. Then the nodes beside endpoints are
// stopped and started in turn. At some of the stops a client sends on an idle flow that the
// routers now send through the new frontend.
func playNewFrontends(w *world) (string, error) {
	for zone := range zones {
		w.addFrontend(zone, 1, true)
		w.addFrontend(zone, 2, false)
	}
	sides := make([][]*machine, len(zones))
	for zone := range zones {
		for n := range sidesOfZone {
			m := w.addSide(zone, 51+n, "desk")
			e, err := w.addEndpoint(m, fmt.Sprintf("i-%s-%d", zones[zone], n), 0)
			if err != nil {
				return "", err
			}
			e.workTime = time.Millisecond
			sides[zone] = append(sides[zone], m)
		}
	}
	w.writeConfig(7, []route{
		{deskAddress, "desk", 1500},
	}, services)
	if err := w.start(); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	flows, err := w.openIdle()
	if err != nil {
		return "", err
	}
	w.record("%d flows are open", len(flows))

	added := []*machine{}
	for zone := range zones {
		m := w.addFrontend(zone, 3, false)
		m.bootstrap = false
		added = append(added, m)
		if err := m.start(); err != nil {
			return "", err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	at := w.endpointsOfFlows()
	group := sync.WaitGroup{}
	for zone := range zones {
		group.Go(func() {
			w.rollZone(added[zone], sides[zone], flows, at)
		})
	}
	group.Wait()

	return "FLOW", nil
}

// rollZone stops the nodes of a zone in turn. With each second stop, starting with the first
// one, a client sends on an idle flow of the endpoint beside the node.
func (w *world) rollZone(m *machine, sides []*machine, flows []heldFlow, at map[segment.Key]*machine) {
	busy := map[*client]bool{}
	group := sync.WaitGroup{}
	for i := range rolls {
		side := sides[(i+1)/2%len(sides)]
		h := (*heldFlow)(nil)
		if i%2 == 0 {
			h = w.idleFlow(flows, m, side, busy, at)
		}
		if w.trouble {
			side.signal(syscall.SIGTERM)
		}
		if h != nil {
			busy[h.client] = true
			d := time.Duration(800+rand.IntN(2400)) * time.Microsecond
			wait(d)
			w.record("%v later a client of %s sends on a flow that was idle for %.1f s, through %s", d, zones[m.zone],
				time.Since(h.usedAt).Seconds(), m.name)
			group.Go(func() {
				h.client.request(h.flow, fmt.Sprintf("idle-%s-%d", zones[m.zone], i))
			})
		}
		time.Sleep(rollGap)
	}
	group.Wait()
}

// wait waits for a short time with the precision that a sleep lacks.
func wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
	}
}

// openIdle opens the flows of all clients, with one request on each.
func (w *world) openIdle() ([]heldFlow, error) {
	list := []heldFlow{}
	mu := sync.Mutex{}
	group := sync.WaitGroup{}
	for zone := range zones {
		for i := range clientsOfZone {
			c, err := newClient(w, zone, i+1)
			if err != nil {
				return nil, err
			}
			group.Go(func() {
				for j := range flowsOfClient {
					f := c.open(deskAddress)
					if f == nil {
						continue
					}
					if _, ok := c.request(f, fmt.Sprintf("first-%s-%d-%d", zones[zone], i, j)); ok {
						mu.Lock()
						list = append(list, heldFlow{
							client: c,
							flow:   f,
							usedAt: time.Now(),
						})
						mu.Unlock()
					}
				}
			})
		}
	}
	group.Wait()

	return list, nil
}

// endpointsOfFlows returns the side machine of the endpoint that has each flow.
func (w *world) endpointsOfFlows() map[segment.Key]*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := map[segment.Key]*machine{}
	for _, o := range w.openings {
		at[o.key] = o.endpoint.machine
	}

	return at
}

// idleFlow returns the newest idle flow whose packets go through a frontend to the endpoint
// of a side machine, of a client that is not busy; nil if there is none.
func (w *world) idleFlow(flows []heldFlow, m, side *machine, busy map[*client]bool, at map[segment.Key]*machine) *heldFlow {
	for i := len(flows) - 1; i >= 0; i-- {
		h := &flows[i]
		if time.Since(h.usedAt) > idleLimit-time.Second {
			break
		}
		if h.client.zone == m.zone && !busy[h.client] && at[h.flow.key] == side && w.routers.pick(m.zone, h.flow.key) == m {
			return h
		}
	}
	w.record("no idle flow leads through %s to %s", m.name, side.name)

	return nil
}
