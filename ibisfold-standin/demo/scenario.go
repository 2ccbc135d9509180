package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/ticket"
)

const (
	// ticketInterval is the time between two tickets. It is longer than maxTicketTime, so
	// that a ticket is in force everywhere before the next one is published.
	ticketInterval = 5100 * time.Millisecond
	// warmUpTime is the time under load before the second ticket, in which agents detect
	// that their targets are warm.
	warmUpTime = 7 * time.Second
	// maxOpenTime bounds the wait for all flows to be open.
	maxOpenTime = 6 * time.Second
)

// logf prints a line with the time since the start of the run.
func (r *run) logf(format string, a ...any) {
	fmt.Printf("%6.2fs  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

func readTicket(path string) (*ticket.Ticket, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t, err := ticket.Parse(b)

	return t, errors.Annotate(err, path)
}

// runScenario opens the flows and runs the load while tickets and faults change the site.
// Error: ErrNotReady.
func (r *run) runScenario(ctx context.Context) error {
	_, missing := waitForTicket(ctx, r.processes, r.site.start.Number, r.start, maxReadyTime)
	if len(missing) > 0 || len(r.processes.running()) < len(r.vms()) {
		r.logf("without the first ticket: %v", missing)
		return ErrNotReady
	}
	r.logf("%d processes have ticket %d", len(r.vms()), r.site.start.Number)

	open, stopOpen := context.WithCancel(ctx)
	defer stopOpen()
	if err := r.callers.Open(open); err != nil {
		return err
	}
	r.waitForFlows(ctx)

	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	done := make(chan struct{})
	r.result.loadStart = time.Since(r.start)
	go func() {
		r.callers.Run(load)
		close(done)
	}()
	sleepUntil(ctx, time.Now().Add(warmUpTime))
	r.publishTickets(ctx)

	r.result.loadEnd = time.Since(r.start)
	stopLoad()
	<-done
	stopOpen()
	r.logf("load ended; closing %d flows", r.callers.OpenFlows())
	r.callers.CloseFlows()

	return nil
}

// waitForFlows waits until all flows are open, for at most maxOpenTime.
func (r *run) waitForFlows(ctx context.Context) {
	want := 0
	for _, l := range r.site.loads(r.options.Work, r.options.Share, r.options.Flows) {
		want += l.Flows
	}
	end := time.Now().Add(maxOpenTime)
	for r.callers.OpenFlows() < want && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	r.logf("%d of %d flows are open", r.callers.OpenFlows(), want)
}

// publishTickets publishes the tickets after the first one in turn. One of the faults follows
// each of them, in order, until all faults have been injected.
func (r *run) publishTickets(ctx context.Context) {
	faults := []func(){r.killEntry, r.rejoinEntry, r.stopEntry}
	for i, p := range r.site.tickets[1:] {
		next := time.Now().Add(ticketInterval)
		published := time.Now()
		t := r.publish(p)
		if i < len(faults) {
			faults[i]()
		}
		r.awaitTicket(ctx, t, published)
		sleepUntil(ctx, next)
	}
}

func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
}

// awaitTicket waits until a ticket is in force everywhere, and records how long it took.
func (r *run) awaitTicket(ctx context.Context, t *ticket.Ticket, published time.Time) {
	took, missing := waitForTicket(ctx, r.processes, t.Number, published, ticketInterval)
	if len(missing) > 0 {
		r.logf("ticket %d is not in force at %v", t.Number, missing)
		took = ticketInterval
	} else {
		r.logf("ticket %d is in force everywhere after %.2f s", t.Number, took.Seconds())
	}
	r.result.ticket = max(r.result.ticket, took)
}

// publish applies a ticket to the targets and writes it to the configuration service.
func (r *run) publish(path string) *ticket.Ticket {
	t, err := readTicket(path)
	if err != nil {
		r.logf("cannot read ticket: %v", err)
		return &ticket.Ticket{}
	}
	now := time.Now()
	for _, z := range t.Zones {
		r.zones.Set(z.Name, z.InService, now)
		r.recordZoneOutage(z, now)
	}
	r.state.Merge(t)
	// Targets change first, because a process may act on a ticket within a millisecond.
	r.applyTargets()
	if err := r.config.Store.PublishFile(path); err != nil {
		r.logf("cannot publish ticket: %v", err)
	}
	r.logf("published %s: %s", filepath.Base(path), t.Reason)

	return t
}

// recordZoneOutage records the start and the end of the outage of a zone.
func (r *run) recordZoneOutage(z ticket.Zone, now time.Time) {
	if r.result.zoneOutages == nil {
		r.result.zoneOutages = map[string]*outage{}
	}
	o := r.result.zoneOutages[z.Name]
	switch {
	case !z.InService && o == nil:
		r.result.zoneOutages[z.Name] = &outage{
			from: now.Sub(r.start),
		}
	case z.InService && o != nil && !o.ended:
		o.ended = true
		o.lastPacketAt = r.lastPacket(z.Name)
	}
}

// lastPacket returns when a target of a zone last got a packet, since the start of the run.
func (r *run) lastPacket(zone string) time.Duration {
	last := time.Duration(0)
	for _, v := range r.site.agents {
		if v.process.Zone == zone {
			last = max(last, r.targets[v.name].Counters().LastPacket)
		}
	}

	return last
}

// applyTargets tells each target which service it serves and whether it should get requests.
func (r *run) applyTargets() {
	for name, t := range r.targets {
		o, ok := r.state.Targets[name]
		if !ok || o.Removed {
			t.SetInService(false)
			continue
		}
		s := r.state.Services[o.Value.Service].Value
		t.Serve(serviceGrace, s.Name, s.Addresses)
		in := o.Value.State != ticket.Draining && r.state.Zones[o.Value.Zone].Value.InService
		t.SetInService(in)
	}
}

// findProcess returns the running process of a VM, or nil.
func (r *run) findProcess(v *vm) *process {
	for _, p := range r.processes.running() {
		if p.vm == v {
			return p
		}
	}

	return nil
}

// killEntry kills the first entry.
func (r *run) killEntry() {
	v := r.site.entries[0]
	if p := r.findProcess(v); p != nil {
		p.kill()
		r.config.VMs.Leave(vmRow(v))
		r.logf("killed %s", v.name)
	}
}

// rejoinEntry starts the first entry again.
func (r *run) rejoinEntry() {
	v := r.site.entries[0]
	if err := r.join(v); err != nil {
		r.logf("cannot start %s: %v", v.name, err)
		return
	}
	r.logf("a new %s joins", v.name)
}

// stopEntry shuts the last entry down gracefully.
func (r *run) stopEntry() {
	v := r.site.entries[len(r.site.entries)-1]
	if p := r.findProcess(v); p != nil {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		r.config.VMs.Leave(vmRow(v))
		r.logf("sent SIGTERM to %s", v.name)
	}
}
