// Package demo runs a whole site on loopback: entries and agents as real processes,
// everything around them as stand-ins in its own process. It decides from what callers
// and targets observe whether the invariants of the system hold.
package demo

import (
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/settings"
	"ibisfold.example/core/ticket"
	"ibisfold.example/ibisfold-standin/callers"
	"ibisfold.example/ibisfold-standin/fabric"
)

// Sentinel errors of this package.
const (
	ErrSite      = errors.ConstError("unknown site")
	ErrNoEntries = errors.ConstError("site has no entries")
	ErrNoTickets = errors.ConstError("site has no tickets")
	ErrNotReady  = errors.ConstError("processes did not take the first ticket in time")
	ErrInvariant = errors.ConstError("an invariant was broken")
)

// delays are the one-way delays between the zones of a site, and between callers and entries.
type delays struct {
	zones   time.Duration
	clients time.Duration
}

// sites holds the delays of each site that the demo can run, by name.
var sites = map[string]delays{
	"eisweinruf": {
		zones:   5 * time.Millisecond,
		clients: 1 * time.Millisecond,
	},
	"ulaanbaatar": {
		zones:   4 * time.Millisecond,
		clients: 3 * time.Millisecond,
	},
}

// vm is a VM with one process of the system and the settings of that process.
type vm struct {
	// name is the name of the settings file without its suffix; for an agent it is
	// its setting Name, which is the name of its target.
	name    string
	path    string
	process settings.Process
	// callers is the address for callers, set for entries only; target is the address
	// of the target, set for agents only.
	callers netip.AddrPort
	target  netip.AddrPort
}

func (v *vm) isEntry() bool {
	return v.callers.IsValid()
}

// site is one of the example deployments.
type site struct {
	name    string
	delays  delays
	entries []*vm
	agents  []*vm
	// tickets are the paths of the ticket files in order.
	tickets []string
	// start is the first ticket of the run.
	start *ticket.Ticket
}

// loadSite reads the settings and tickets of a site. Errors: ErrSite, ErrNoEntries,
// ErrNoTickets.
func loadSite(examples, name string) (*site, error) {
	d, ok := sites[name]
	if !ok {
		return nil, errors.Annotate(ErrSite, name)
	}
	s := &site{
		name:   name,
		delays: d,
	}
	if err := s.loadSettings(filepath.Join(examples, name, "settings")); err != nil {
		return nil, err
	}
	if len(s.entries) == 0 {
		return nil, ErrNoEntries
	}

	return s, s.loadTickets(filepath.Join(examples, name, "tickets"))
}

func (s *site) loadSettings(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return errors.Trace(err)
	}
	slices.Sort(files)
	for _, p := range files {
		v := &vm{
			name: strings.TrimSuffix(filepath.Base(p), ".yaml"),
			path: p,
		}
		if err := v.load(); err != nil {
			return err
		}
		if v.isEntry() {
			s.entries = append(s.entries, v)
		} else {
			s.agents = append(s.agents, v)
		}
	}

	return nil
}

// load reads the settings of an entry or an agent from path.
func (v *vm) load() error {
	if fabric.IsEntry(v.path) {
		e := settings.Entry{}
		err := settings.Load(v.path, &e)
		v.process, v.callers = e.Process, e.Callers

		return err
	}
	a := settings.Agent{}
	err := settings.Load(v.path, &a)
	v.process, v.target, v.name = a.Process, a.Target, a.Name

	return err
}

func (s *site) loadTickets(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return errors.Trace(err)
	}
	if len(files) == 0 {
		return ErrNoTickets
	}
	slices.Sort(files)
	s.tickets = files
	s.start, err = readTicket(files[0])

	return err
}

// loads returns the load of each service. Its rate uses a share of the slots that the
// service has in the first ticket, and its number of flows is proportional to them.
func (s *site) loads(work time.Duration, share float64, flowsPerSlot int) []callers.Load {
	slots := map[string]int{}
	for _, t := range s.start.Targets {
		slots[t.Service] += t.Slots
	}
	loads := []callers.Load{}
	for _, v := range s.start.Services {
		loads = append(loads, callers.Load{
			Tenant:     v.Tenant,
			Service:    v.Name,
			Address:    v.Addresses[0],
			Flows:      slots[v.Name] * flowsPerSlot,
			Rate:       share * float64(slots[v.Name]) / work.Seconds(),
			Burst:      meanBurst,
			Idempotent: idempotentShare,
			Skew:       flowSkew,
		})
	}

	return loads
}
