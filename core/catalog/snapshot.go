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
	// Groups holds the targets of each service, sorted by ID.
	Groups map[uint64][]Member
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
	latestIDs := s.latestIDs()
	for _, t := range slices.SortedFunc(maps.Values(s.targets), compareTargets) {
		if latestIDs[t.Address] != t.ID {
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

// departedMembers returns the departed targets of the VMs that have no listed target. All
// targets of a VM share one agent, so it returns one for each VM: the one that left last,
// or that started last if several left at the same time.
func (s *State) departedMembers() []Member {
	list := []Member{}
	taken := map[netip.Addr]bool{}
	for _, t := range s.targets {
		taken[t.Address.Addr()] = true
	}
	// The order of the ages is the same at any time, so the list is taken at time zero.
	departed := s.departed.List(0)
	slices.SortStableFunc(departed, func(a, b TargetDeparted) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(b.Target.Born, a.Target.Born))
	})
	for _, d := range departed {
		a := d.Target.Address.Addr()
		if taken[a] {
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

// latestIDs returns the ID of the target that started last at each address: the
// address of a target that is gone may be reused, also by another service.
func (s *State) latestIDs() map[netip.AddrPort]string {
	m := map[netip.AddrPort]string{}
	for id, t := range s.targets {
		other, ok := s.targets[m[t.Address]]
		if !ok || cmp.Or(cmp.Compare(t.Born, other.Born), cmp.Compare(id, other.ID)) > 0 {
			m[t.Address] = id
		}
	}

	return m
}

func compareTargets(a, b Target) int {
	return cmp.Compare(a.ID, b.ID)
}

// Route returns the route of a service address and whether there is one.
func (n *Snapshot) Route(a netip.AddrPort) (Route, bool) {
	r, ok := n.Config.Routes[a]

	return r, ok
}
