package demo

import (
	"context"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/ticket"
	"ibisfold.example/ibisfold-standin/callers"
	"ibisfold.example/ibisfold-standin/config"
	"ibisfold.example/ibisfold-standin/fabric"
	"ibisfold.example/ibisfold-standin/target"
)

const (
	// maxReadyTime bounds the time until the first ticket is in force at all processes.
	maxReadyTime = 12 * time.Second
	// maxStopTime bounds the graceful shutdown of a process at the end of the run.
	maxStopTime = 4 * time.Second
	// serviceGrace bounds the time until a ticket is in force everywhere at the current
	// size of a site. Until then, a target may get requests for its previous service.
	serviceGrace = 5 * time.Second
	// vmListLag is the time until a change is visible in the list of VMs.
	vmListLag = 5 * time.Second
)

// run is the state of a demo run.
type run struct {
	options Options
	site    *site
	start   time.Time

	config    *config.Server
	fabric    *fabric.Fabric
	targets   map[string]*target.Target
	ledger    *target.Ledger
	callers   *callers.Callers
	entries   *callers.Entries
	zones     *callers.Zones
	processes *processes

	state  ticket.State
	result result
}

// Run runs the site and prints the result. Errors: ErrSite, ErrNoEntries, ErrNoTickets,
// ErrNotReady, ErrInvariant.
func Run(ctx context.Context, o Options) error {
	s, err := loadSite(o.Examples, o.Site)
	if err != nil {
		return err
	}
	logs, err := os.MkdirTemp("", "ibisfold-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()

	r := &run{
		options: o,
		site:    s,
		start:   time.Now(),
		config: &config.Server{
			Store: &config.Store{},
			VMs: &config.VMs{
				Lag: vmListLag,
			},
		},
		fabric:  fabric.New(fabric.NewPath(s.delays.zones, s.delays.zones/5, o.Seed)),
		targets: map[string]*target.Target{},
		ledger:  &target.Ledger{},
		entries: &callers.Entries{},
		zones:   &callers.Zones{},
		processes: &processes{
			bin:  o.Bin,
			logs: logs,
		},
	}
	r.logf("logs of the processes are in %s; they are removed if all goes well", logs)
	defer r.stop()

	if err := r.prepare(ctx); err != nil {
		return err
	}
	if err := r.runScenario(ctx); err != nil {
		return err
	}
	if o.Footprint != "" {
		if err := r.writeFootprints(ctx, o.Footprint); err != nil {
			return err
		}
	}
	r.stopProcesses()
	if err := r.report(); err != nil {
		return err
	}

	return errors.Trace(os.RemoveAll(logs))
}

// prepare starts the stand-ins and the processes.
func (r *run) prepare(ctx context.Context) error {
	if err := r.serveConfig(ctx); err != nil {
		return err
	}
	if err := r.listenTargets(); err != nil {
		return err
	}
	for _, v := range r.vms() {
		if err := r.fabric.Add(fabric.NodeOf(v.process)); err != nil {
			return err
		}
	}
	r.publish(r.site.tickets[0])
	for _, v := range r.vms() {
		if err := r.join(v); err != nil {
			return err
		}
	}
	r.callers = callers.New(callers.Options{
		Entries: r.entries,
		Zones:   r.zones,
		Delay:   r.site.delays.clients,
		Sockets: socketsPerLoad,
		Seed:    r.options.Seed,
		Loads:   r.site.loads(r.options.Work, r.options.Share, r.options.Flows),
	})
	go r.watchHealth(ctx)

	return nil
}

func (r *run) vms() []*vm {
	return append(append([]*vm{}, r.site.entries...), r.site.agents...)
}

// serveConfig starts the configuration service at the address in the settings.
func (r *run) serveConfig(ctx context.Context) error {
	u, err := url.Parse(r.site.entries[0].process.Consul)
	if err != nil {
		return errors.Trace(err)
	}
	l, err := net.Listen("tcp", u.Host)
	if err != nil {
		return errors.Trace(err)
	}
	go func() {
		_ = r.config.Serve(ctx, l)
	}()

	return nil
}

// listenTargets starts the targets of all agents. A target that no ticket names has one
// slot.
func (r *run) listenTargets() error {
	slots := map[string]int{}
	for _, p := range r.site.tickets {
		t, err := readTicket(p)
		if err != nil {
			return err
		}
		for _, g := range t.Targets {
			slots[g.Name] = g.Slots
		}
	}
	for _, v := range r.site.agents {
		t, err := target.Listen(v.target, r.start, target.Options{
			Name:   v.name,
			Zone:   v.process.Zone,
			Slots:  max(1, slots[v.name]),
			Work:   r.options.Work,
			Seed:   r.options.Seed,
			Ledger: r.ledger,
		})
		if err != nil {
			return err
		}
		r.targets[v.name] = t
	}

	return nil
}

// join starts the process of a VM and puts it on the list of VMs.
func (r *run) join(v *vm) error {
	if _, err := r.processes.start(v); err != nil {
		return err
	}
	r.config.VMs.Join(vmRow(v))

	return nil
}

// vmRow returns the row of v in the list of VMs.
func vmRow(v *vm) config.VM {
	role := "agent"
	if v.isEntry() {
		role = "entry"
	}

	return config.VM{
		Addr: v.process.Advertise,
		Zone: v.process.Zone,
		Role: role,
	}
}

// stopProcesses stops all processes and prints which of them had to be killed or exited
// with an error.
func (r *run) stopProcesses() {
	r.logf("stopping %d processes", len(r.processes.running()))
	if killed := r.processes.stopAll(maxStopTime); len(killed) > 0 {
		r.logf("killed after %v: %v", maxStopTime, killed)
	}
	if failed := r.processes.failed(); len(failed) > 0 {
		r.logf("ended with an error: %v", failed)
	}
}

// stop stops the processes, then the stand-ins.
func (r *run) stop() {
	r.processes.stopAll(maxStopTime)
	if r.callers != nil {
		r.callers.Close()
	}
	for _, t := range r.targets {
		t.Close()
	}
	r.fabric.Close()
}

// watchHealth simulates the health checks of the network fabric in front of the entries. Two
// failures in a row take an entry out of rotation, one success puts it back.
func (r *run) watchHealth(ctx context.Context) {
	const (
		interval = 200 * time.Millisecond
		failures = 2
	)

	failed := map[*vm]int{}
	for ctx.Err() == nil {
		for _, v := range r.site.entries {
			if healthy(ctx, v) {
				failed[v] = 0
				r.entries.Add(v.callers)
				continue
			}
			failed[v]++
			if failed[v] >= failures {
				r.entries.Remove(v.callers)
			}
		}
		time.Sleep(interval)
	}
}
