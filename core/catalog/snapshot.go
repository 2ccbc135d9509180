package catalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

// Snapshot is an immutable view of a State for the data path.
type Snapshot struct {
	// Config is never nil.
	Config *Config
	// Groups holds the targets of each service, sorted by ID: at most one for each address.
	Groups map[uint64][]Member
	// Hidden is the number of listed targets at whose address another one is in use.
	Hidden int
	// Departed holds the targets that left the list less than State.MaxAge ago, sorted by
	// ID. They get no new flows but may hold old ones: the entry of a living target may
	// expire during an outage of the configuration service.
	Departed []Member
}

// Member is a target of a Snapshot and the state of its zone.
type Member struct {
	Target
	// ZoneOut means that operators took the target's zone out of service.
	ZoneOut bool
}

// Usable reports whether the target may get new flows.
func (m *Member) Usable() bool {
	return !m.Draining && !m.ZoneOut
}

// Snapshot returns the current view, or nil if the state is not Ready.
func (s *State) Snapshot() *Snapshot {
	if !s.Ready() {
		return nil
	}
	n := &Snapshot{
		Config: s.config,
		Groups: map[uint64][]Member{},
	}
	inUse := targetsInUse(s, func(t *Target) netip.AddrPort {
		return t.Address
	})
	for _, t := range slices.SortedFunc(maps.Values(s.targets), compareTargets) {
		if inUse[t.Address].ID != t.ID {
			n.Hidden++
			continue
		}
		n.Groups[t.Service] = append(n.Groups[t.Service], Member{
			Target:  t,
			ZoneOut: s.zonesOut[t.Zone],
		})
	}
	n.Departed = s.departedMembers()

	return n
}

// departedMembers returns the departed targets of the VMs without a listed target that replaces
// them. All targets of a VM share one agent, so it returns one for each VM.
func (s *State) departedMembers() []Member {
	list := []Member{}
	inUse := targetsInUse(s, func(t *Target) netip.Addr {
		return t.Address.Addr()
	})
	taken := map[netip.Addr]bool{}
	// The order of the ages is the same at any time, so the list is taken at time zero.
	departed := s.departed.List(0)
	s.config.sortDeparted(departed)
	for _, d := range departed {
		a := d.Target.Address.Addr()
		if t, listed := inUse[a]; taken[a] || listed && s.config.Replaces(&t, &d.Target) {
			continue
		}
		taken[a] = true
		list = append(list, Member{
			Target:  d.Target,
			ZoneOut: s.zonesOut[d.Target.Zone],
		})
	}
	slices.SortFunc(list, func(a, b Member) int {
		return compareTargets(a.Target, b.Target)
	})

	return list
}

// targetsInUse returns the listed target that is in use in each place, such as an address.
func targetsInUse[K comparable](s *State, place func(*Target) K) map[K]Target {
	m := map[K]Target{}
	for _, t := range s.targets {
		other, ok := m[place(&t)]
		if !ok || s.config.ComparePrecedence(&t, &other) < 0 {
			m[place(&t)] = t
		}
	}

	return m
}

func compareTargets(a, b Target) int {
	return cmp.Compare(a.ID, b.ID)
}

// Undeclared returns the number of targets in Groups whose service the configuration does not
// declare.
func (n *Snapshot) Undeclared() int {
	count := 0
	for service, g := range n.Groups {
		if !n.Config.Declares(service) {
			count += len(g)
		}
	}

	return count
}

// Route returns the route of a service address and whether there is one.
func (n *Snapshot) Route(a netip.AddrPort) (Route, bool) {
	r, ok := n.Config.Routes[a]

	return r, ok
}
