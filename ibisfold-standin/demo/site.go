// Package demo runs a whole site on loopback: the product's programs as real
// processes, with the stand-ins for everything around them in its own process.
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
	ErrBroken    = errors.ConstError("an invariant was broken")
)

// delays are the one-way delays of a site.
type delays struct {
	zones   time.Duration
	clients time.Duration
}

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

// vm is one process of the product with its settings.
type vm struct {
	// name is that of the settings file without its suffix.
	name    string
	path    string
	process settings.Process
	// callers is set for entries, target for agents.
	callers netip.AddrPort
	target  netip.AddrPort
}

func (v *vm) isEntry() bool {
	return v.callers.IsValid()
}

type site struct {
	name    string
	delays  delays
	entries []*vm
	agents  []*vm
	// tickets are the paths of the ticket files in order.
	tickets []string
	// start is the first ticket.
	start *ticket.Ticket
}

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

// loads returns the callers of each service: a rate that uses a share of the
// slots of the first ticket, and flows in proportion to them.
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
			Burst:      burst,
			Idempotent: idempotent,
			Skew:       skew,
		})
	}

	return loads
}
