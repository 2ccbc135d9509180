package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"syscall"
	"time"
)

// foreignEntry is an entry under servers/ that another writer than an endpoint wrote. Its service
// is one that no configuration names.
type foreignEntry struct {
	id      string
	service string
	address netip.AddrPort
	born    time.Time
}

// writeForeign writes the entry of another writer.
func (b *bed) writeForeign(f foreignEntry) {
	v, err := json.Marshal(map[string]any{
		"Service":    f.service,
		"Address":    f.address.String(),
		"Zone":       zone,
		"Version":    "1.8.2",
		"Slots":      1,
		"State":      "ready",
		"ColdLeftMs": 0,
		"SeqNo":      0,
		"born":       f.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	b.store.SetEntry(f.id, v)
	b.rec.add("store: servers/%s written by another writer: %s", f.id, v)
}

// oldStart is how long before the run the exporters of the machines started.
const oldStart = time.Hour

// Figures of the cases: endpoints, clients with long flows, and the pause between two requests of
// a flow. Flows may be idle for 12 s.
const (
	foreignEndpoints = 4
	foreignClients   = 48
	foreignPause     = 4 * time.Second
	// restartTime is the delay after which the platform starts a stopped process again.
	restartTime = 1200 * time.Millisecond
	// registerTime is how long after its start an exporter writes its entry.
	registerTime = 30 * time.Millisecond
	// leadTime is how long the clients are served before the disruption.
	leadTime = 6 * time.Second
)

// startForeign starts two frontend machines, the endpoints of one service, and the clients.
func startForeign(ctx context.Context, b *bed, pause time.Duration, before func()) error {
	b.addEntries(2)
	for range foreignEndpoints {
		e := b.addSide("rufdienst", 7)
		e.work = 10 * time.Millisecond
	}
	b.writeConfig(7, []configService{
		{
			Name:       "rufdienst",
			HealthPath: "/health",
			MaxConns:   2000,
		},
	})
	before()
	if err := b.startAll(ctx); err != nil {
		return err
	}
	for range foreignClients {
		c, err := b.addClient(b.routeAddress(0))
		if err != nil {
			return err
		}
		c.pause = pause
		go c.run(ctx)
		time.Sleep(pause / foreignClients)
	}
	sleep(ctx, leadTime)

	return nil
}

// exporter returns the entry of the monitoring exporter on a side machine. Its port is its own.
func exporter(m *machine, born time.Time) foreignEntry {
	return foreignEntry{
		id:      "exporter-" + m.name,
		service: exporterService,
		address: netip.AddrPortFrom(m.ip, portExporter),
		born:    born,
	}
}

const (
	exporterService = "node-exporter"
	portExporter    = 9100
)

// restart stops the process of a machine as planned and starts it again.
func (m *machine) restart(ctx context.Context, delay time.Duration) error {
	m.signal(syscall.SIGTERM)
	if !m.wait(graceTime) {
		m.signal(syscall.SIGKILL)
		m.wait(graceTime)
	}
	sleep(ctx, delay)

	return m.start()
}

// runExporter checks FLOW while the node beside an endpoint is stopped and started as planned.
// With trouble, each side machine has a monitoring exporter that writes an entry of its own, and
// that of the machine is restarted together with the node.
func runExporter(ctx context.Context, b *bed) error {
	err := startForeign(ctx, b, foreignPause, func() {
		for _, m := range b.agents {
			if b.trouble {
				b.writeForeign(exporter(m, time.Now().Add(-oldStart)))
			}
		}
	})
	if err != nil {
		return err
	}
	m := b.agents[0]
	if err := m.restart(ctx, restartTime); err != nil {
		return err
	}
	if b.trouble {
		started := time.Now()
		sleep(ctx, registerTime)
		b.writeForeign(exporter(m, started))
	}
	sleep(ctx, 14*time.Second)
	b.summarize()

	return nil
}

// runNoID checks FLOW while a frontend machine's process is stopped and started as planned. With
// trouble, another writer has written an entry without an id before.
func runNoID(ctx context.Context, b *bed) error {
	if err := startForeign(ctx, b, foreignPause/2, func() {}); err != nil {
		return err
	}
	if b.trouble {
		b.writeForeign(foreignEntry{
			service: exporterService,
			address: netip.AddrPortFrom(b.agents[0].ip, portExporter),
			born:    time.Now(),
		})
	}
	sleep(ctx, 2*time.Second)
	if err := b.entries[0].restart(ctx, restartTime); err != nil {
		return err
	}
	sleep(ctx, 10*time.Second)
	b.summarize()

	return nil
}

// Figures of the power loss: the machines are dark for darkTime. RECOVER is judged by the
// requests that are sent later than recoveryTime after the machines are back.
const (
	darkTime     = 1100 * time.Millisecond
	recoveryTime = 12 * time.Second
	judgedTime   = 8 * time.Second
)

// runProbeEntry checks RECOVER after all machines lost power. With trouble, a monitoring job on
// each side machine writes an entry with the address that it checks, that of the endpoint.
func runProbeEntry(ctx context.Context, b *bed) error {
	probe := func(m *machine, born time.Time) {
		if b.trouble {
			b.writeForeign(foreignEntry{
				id:      "probe-" + m.name,
				service: "liveness-probe",
				address: netip.AddrPortFrom(m.ip, portApp),
				born:    born,
			})
		}
	}
	err := startForeign(ctx, b, 500*time.Millisecond, func() {
		for _, m := range b.agents {
			probe(m, time.Now().Add(-oldStart))
		}
	})
	if err != nil {
		return err
	}
	before := b.count()
	b.rec.add("all machines lose power")
	for _, m := range b.machines() {
		m.end()
	}
	for _, e := range b.endpoints {
		e.crash()
	}
	sleep(ctx, darkTime)
	b.rec.add("all machines are back")
	for _, e := range b.endpoints {
		if err := e.start(0); err != nil {
			return err
		}
	}
	for _, m := range b.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	sleep(ctx, 300*time.Millisecond)
	for _, m := range b.agents {
		probe(m, time.Now())
	}
	sleep(ctx, recoveryTime)
	start := b.count()
	sleep(ctx, judgedTime)
	end := b.count()
	b.rec.add("before the fault: %d attempts, %d answered", before.attempts, before.answered)
	attempts, answered := end.attempts-start.attempts, end.answered-start.answered
	b.rec.add("later than %v after the machines are back: %d attempts, %d answered", recoveryTime, attempts, answered)
	if 4*before.answered >= before.attempts && 4*answered < attempts {
		b.fail("RECOVER: %d of %d attempts were served later than %v after the machines are back", answered, attempts, recoveryTime)
	}

	return nil
}
