// Package entry holds the decisions of an entry: where a caller's packet goes,
// from the packet and an immutable snapshot alone.
package entry

import (
	"maps"
	"net/netip"
	"time"

	"ibisfold.example/core/ticket"
)

// Snapshot is what an entry needs of the state to route packets. It is
// immutable once published; traffic goroutines share it.
type Snapshot struct {
	// Ticket is the highest ticket number merged.
	Ticket uint64
	// Digest identifies the state that the snapshot was built from.
	Digest ticket.Digest
	// ConfirmedUntil is the end of the lease on this view; zero before the first.
	ConfirmedUntil time.Duration

	tables   addressIndex
	zonesOut map[uint64]struct{}
	// targets holds the identities of all targets in the state.
	targets map[uint64]struct{}
	// suspects maps a target to the incarnation of its agent that is silent.
	suspects map[uint64]uint64
}

// Build derives a snapshot from the state and the suspected agents. The lease
// is zero: see Renew.
func Build(s *ticket.State, suspects map[uint64]uint64) *Snapshot {
	n := &Snapshot{
		Ticket:   s.Highest(),
		Digest:   s.Digest(),
		zonesOut: zonesOut(s),
		targets:  targets(s),
		suspects: suspects,
	}
	groups := groupTargets(s, suspects)
	tables := map[netip.AddrPort]table{}
	for a, owner := range addressOwners(s) {
		tables[a] = newTable(s.Services[owner].Value, groups[owner])
	}
	n.tables = newAddressIndex(tables)

	return n
}

// addressOwners finds the service of each address. At a clash the service with
// the higher version keeps it, and the name decides within one ticket.
func addressOwners(s *ticket.State) map[netip.AddrPort]string {
	owners := map[netip.AddrPort]string{}
	for name, o := range s.Services {
		if o.Removed {
			continue
		}
		for _, a := range o.Value.Addresses {
			other, ok := owners[a]
			if !ok || beats(s, name, other) {
				owners[a] = name
			}
		}
	}

	return owners
}

func beats(s *ticket.State, name, other string) bool {
	v := s.Services[name].Version
	than := s.Services[other].Version
	if v != than {
		return than.Less(v)
	}

	return name > other
}

// Matches reports whether the snapshot was built from a state with digest d and
// from these suspects.
func (n *Snapshot) Matches(d ticket.Digest, suspects map[uint64]uint64) bool {
	return n.Digest == d && maps.Equal(n.suspects, suspects)
}

// Renew returns a snapshot of the same state with a new lease.
func (n *Snapshot) Renew(until time.Duration) *Snapshot {
	c := *n
	c.ConfirmedUntil = until

	return &c
}

func zonesOut(s *ticket.State) map[uint64]struct{} {
	m := map[uint64]struct{}{}
	for name, o := range s.Zones {
		if !o.Removed && !o.Value.InService {
			m[ticket.ID(name)] = struct{}{}
		}
	}

	return m
}

func targets(s *ticket.State) map[uint64]struct{} {
	m := make(map[uint64]struct{}, len(s.Targets))
	for name, o := range s.Targets {
		if !o.Removed {
			m[ticket.ID(name)] = struct{}{}
		}
	}

	return m
}

// groupTargets lists the targets that may get new flows, by service.
func groupTargets(s *ticket.State, suspects map[uint64]uint64) map[string][]candidate {
	m := map[string][]candidate{}
	for name, o := range s.Targets {
		t := o.Value
		if o.Removed || t.State == ticket.Draining {
			continue
		}
		if z, ok := s.Zones[t.Zone]; !ok || z.Removed || !z.Value.InService {
			continue
		}
		id := ticket.ID(name)
		_, suspect := suspects[id]
		m[t.Service] = append(m[t.Service], candidate{
			choice: choice{
				agent:  t.Agent,
				target: id,
			},
			slots:   t.Slots,
			suspect: suspect,
		})
	}

	return m
}
