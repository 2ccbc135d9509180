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
	// stepTime is the time between two tickets. It leaves a ticket the time to
	// be in force everywhere.
	stepTime = 5100 * time.Millisecond
	// warmTime is the time before the second ticket, in which agents find out
	// that their targets are warm.
	warmTime = 7 * time.Second
	// openTime bounds the time until most flows are open.
	openTime = 6 * time.Second
)

func (r *run) say(format string, a ...any) {
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

// play runs load while tickets and faults change the site.
func (r *run) play(ctx context.Context) error {
	_, missing := waitTicket(ctx, r.processes, r.site.start.Number, r.start, readyTime)
	if len(missing) > 0 || len(r.processes.running()) < len(r.vms()) {
		r.say("without the first ticket: %v", missing)
		return ErrNotReady
	}
	r.say("%d processes have ticket %d", len(r.vms()), r.site.start.Number)

	open, stopOpen := context.WithCancel(ctx)
	defer stopOpen()
	if err := r.callers.Open(open); err != nil {
		return err
	}
	r.waitOpen(ctx)

	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	done := make(chan struct{})
	r.result.loadFrom = time.Since(r.start)
	go func() {
		r.callers.Run(load)
		close(done)
	}()
	sleepUntil(ctx, time.Now().Add(warmTime))
	r.steps(ctx)

	r.result.loadTo = time.Since(r.start)
	stopLoad()
	<-done
	stopOpen()
	r.say("load ended; closing %d flows", r.callers.OpenFlows())
	r.callers.CloseFlows()

	return nil
}

func (r *run) waitOpen(ctx context.Context) {
	want := 0
	for _, l := range r.site.loads(r.options.Work, r.options.Share, r.options.Flows) {
		want += l.Flows
	}
	end := time.Now().Add(openTime)
	for r.callers.OpenFlows() < want && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	r.say("%d of %d flows are open", r.callers.OpenFlows(), want)
}

// steps publishes the other tickets one after another, with a fault after
// each of the first ones.
func (r *run) steps(ctx context.Context) {
	faults := []func(){r.killEntry, r.rejoinEntry, r.stopEntry}
	for i, p := range r.site.tickets[1:] {
		next := time.Now().Add(stepTime)
		published := time.Now()
		t := r.publish(p)
		if i < len(faults) {
			faults[i]()
		}
		r.check(ctx, t, published)
		sleepUntil(ctx, next)
	}
}

func sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
}

func (r *run) check(ctx context.Context, t *ticket.Ticket, published time.Time) {
	took, missing := waitTicket(ctx, r.processes, t.Number, published, stepTime)
	if len(missing) > 0 {
		r.say("ticket %d is not in force at %v", t.Number, missing)
		took = stepTime
	} else {
		r.say("ticket %d is in force everywhere after %.2f s", t.Number, took.Seconds())
	}
	r.result.ticket = max(r.result.ticket, took)
}

// publish writes a ticket to the configuration service and changes the
// targets accordingly.
func (r *run) publish(path string) *ticket.Ticket {
	t, err := readTicket(path)
	if err != nil {
		r.say("cannot read ticket: %v", err)
		return &ticket.Ticket{}
	}
	now := time.Now()
	for _, z := range t.Zones {
		r.zones.Set(z.Name, z.InService, now)
		r.noteZone(z, now)
	}
	r.state.Merge(t)
	// Targets change first: a process may act on a ticket within a millisecond.
	r.applyTargets()
	if err := r.config.Store.PublishFile(path); err != nil {
		r.say("cannot publish ticket: %v", err)
	}
	r.say("published %s: %s", filepath.Base(path), t.Reason)

	return t
}

// noteZone measures how long targets of a zone that was taken out got packets.
func (r *run) noteZone(z ticket.Zone, now time.Time) {
	if r.result.zoneOut == nil {
		r.result.zoneOut = map[string]*outage{}
	}
	o := r.result.zoneOut[z.Name]
	switch {
	case !z.InService && o == nil:
		r.result.zoneOut[z.Name] = &outage{
			from: now.Sub(r.start),
		}
	case z.InService && o != nil && !o.over:
		o.over = true
		o.last = r.lastPacket(z.Name)
	}
}

func (r *run) lastPacket(zone string) time.Duration {
	last := time.Duration(0)
	for _, v := range r.site.agents {
		if v.process.Zone == zone {
			last = max(last, r.targets[v.name].Counters().LastPacket)
		}
	}

	return last
}

// applyTargets tells each target which service it serves and whether it
// should get work.
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

func (r *run) find(v *vm) *process {
	for _, p := range r.processes.running() {
		if p.vm == v {
			return p
		}
	}

	return nil
}

func (r *run) killEntry() {
	v := r.site.entries[0]
	if p := r.find(v); p != nil {
		p.kill()
		r.config.VMs.Leave(vmRow(v))
		r.say("killed %s", v.name)
	}
}

func (r *run) rejoinEntry() {
	v := r.site.entries[0]
	if err := r.join(v); err != nil {
		r.say("cannot start %s: %v", v.name, err)
		return
	}
	r.say("a new %s joins", v.name)
}

func (r *run) stopEntry() {
	v := r.site.entries[len(r.site.entries)-1]
	if p := r.find(v); p != nil {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		r.config.VMs.Leave(vmRow(v))
		r.say("sent SIGTERM to %s", v.name)
	}
}
