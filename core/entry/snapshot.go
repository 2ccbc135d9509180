// Package entry decides where an entry sends a caller's packet, from the packet
// and an immutable snapshot of the state alone.
package entry

import (
	"maps"
	"net/netip"
	"time"

	"ibisfold.example/core/ticket"
)

// Snapshot is the part of the state that an entry needs to route packets. It is
// immutable once published, so that traffic goroutines can share it.
type Snapshot struct {
	// Ticket is the highest number of a ticket that was merged.
	Ticket uint64
	// Digest identifies the state that the snapshot was built from.
	Digest ticket.Digest
	// ConfirmedUntil is the end of the lease on this view; zero before the first
	// lease.
	ConfirmedUntil time.Duration

	tables addressIndex
	// zonesOut holds the IDs of the zones that are out of service.
	zonesOut map[uint64]struct{}
	// targets holds the IDs of all targets in the state.
	targets map[uint64]struct{}
	// suspects maps the ID of a target to the suspected incarnation of its agent.
	suspects map[uint64]uint64
}

// Build builds a snapshot from the state and the suspected agents. It has no
// lease yet; see Renew.
func Build(s *ticket.State, suspects map[uint64]uint64) *Snapshot {
	n := &Snapshot{
		Ticket:   s.Highest(),
		Digest:   s.Digest(),
		zonesOut: zonesOut(s),
		targets:  targets(s),
		suspects: suspects,
	}
	candidates := candidatesByService(s, suspects)
	tables := map[netip.AddrPort]table{}
	for a, owner := range addressOwners(s) {
		tables[a] = newTable(s.Services[owner].Value, candidates[owner])
	}
	n.tables = newAddressIndex(tables)

	return n
}

// addressOwners returns the name of the service of each address. If several
// services claim an address, the one with the higher version gets it; within one
// ticket, the name decides.
func addressOwners(s *ticket.State) map[netip.AddrPort]string {
	owners := map[netip.AddrPort]string{}
	for name, o := range s.Services {
		if o.Removed {
			continue
		}
		for _, a := range o.Value.Addresses {
			other, ok := owners[a]
			if !ok || hasPrecedence(s, name, other) {
				owners[a] = name
			}
		}
	}

	return owners
}

// hasPrecedence reports whether the service called name takes an address from the
// one called other.
func hasPrecedence(s *ticket.State, name, other string) bool {
	v := s.Services[name].Version
	otherVersion := s.Services[other].Version
	if v != otherVersion {
		return otherVersion.Less(v)
	}

	return name > other
}

// Matches reports whether the snapshot was built from a state with digest d and
// from these suspects.
func (n *Snapshot) Matches(d ticket.Digest, suspects map[uint64]uint64) bool {
	return n.Digest == d && maps.Equal(n.suspects, suspects)
}

// Renew returns a copy of the snapshot with a lease until the given time.
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

// candidatesByService returns the targets that may get new flows, by service.
func candidatesByService(s *ticket.State, suspects map[uint64]uint64) map[string][]candidate {
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
