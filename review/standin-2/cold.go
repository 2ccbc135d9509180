package main

import (
	"context"
	"time"
)

// Figures of the case: the zone's servers are down for downTime and come back cold. A cold one
// bears coldPerS requests a second.
const (
	coldEndpoints = 4
	coldClients   = 100
	coldPerS      = 4
	coldTime      = 2 * time.Second
	downTime      = 2 * time.Second
	// returnGap is the time between the starts of two endpoints that come back.
	returnGap = 30 * time.Millisecond
)

// runColdReturn checks FAILBACK while the endpoints of a zone crash and come back together, within 0.1 s.
func runColdReturn(ctx context.Context, b *bed) error {
	b.addEntries(2)
	for range coldEndpoints {
		e := b.addSide("rufdienst", 7)
		e.work = 10 * time.Millisecond
		e.coldRate = coldPerS
	}
	b.writeConfig(7, []configService{
		{
			Name:       "rufdienst",
			HealthPath: "/health",
			MaxConns:   2000,
			ColdStartS: coldTime.Seconds(),
			ColdPerS:   coldPerS,
		},
	})
	if err := b.startAll(ctx); err != nil {
		return err
	}
	for range coldClients {
		c, err := b.addClient(b.routeAddress(0))
		if err != nil {
			return err
		}
		c.pause = 300 * time.Millisecond
		c.idempotent = true
		go c.run(ctx)
		time.Sleep(10 * time.Millisecond)
	}
	sleep(ctx, 6*time.Second)
	if b.trouble {
		for _, e := range b.endpoints {
			e.crash()
		}
		sleep(ctx, downTime)
		for _, e := range b.endpoints {
			if err := e.start(coldTime); err != nil {
				return err
			}
			sleep(ctx, returnGap)
		}
	}
	sleep(ctx, 8*time.Second)
	b.checkFailback()

	return nil
}

// checkFailback counts, for each endpoint, the flows that were opened at it while it was cold:
// their opening packets were sent by the client and arrived within one second.
func (b *bed) checkFailback() {
	limit := coldPerS*coldOver + coldSlack
	for _, e := range b.endpoints {
		e.mu.Lock()
		most := 0
		for _, first := range e.opened {
			n := 0
			begin := b.sentAt(first)
			for _, o := range e.opened {
				if o.cold && !b.sentAt(o).Before(begin) && o.arrived.Before(begin.Add(time.Second)) {
					n++
				}
			}
			most = max(most, n)
		}
		e.mu.Unlock()
		b.rec.add("endpoint %s: at most %d requests in one second while cold, limit %.1f", e.id, most, limit)
		if float64(most) > limit {
			b.fail("FAILBACK: cold endpoint %s got %d requests that were sent and arrived within one second, limit %.1f", e.id, most, limit)
		}
	}
	b.summarize()
}

// sentAt returns when the client sent the first packet of a flow.
func (b *bed) sentAt(o opening) time.Time {
	for _, c := range b.clients {
		c.mu.Lock()
		at, ok := c.sent[o.key]
		c.mu.Unlock()
		if ok {
			return at
		}
	}

	return time.Time{}
}
