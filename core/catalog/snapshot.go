package catalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
)

// Snapshot is an immutable view of a State for the traffic path.
type Snapshot struct {
	// Config is never nil.
	Config *Config
	// Groups holds the targets of each service, sorted by ID.
	Groups map[uint64][]Member
	// Departed holds the targets that left the list within the age to which flows live.
	// They get no new flow but may hold old ones: the entry of a living target expires
	// during an outage of the configuration service.
	Departed []Member
}

// Member is a target as the placement of new flows sees it.
type Member struct {
	Target
	// ZoneOut means that operators took the target's zone out.
	ZoneOut bool
}

// Usable reports whether the target may get new flows.
func (m *Member) Usable() bool {
	return !m.Draining && !m.ZoneOut
}

// Snapshot returns the current view; nil unless Ready.
func (s *State) Snapshot() *Snapshot {
	if !s.Ready() {
		return nil
	}
	n := &Snapshot{
		Config: s.config,
		Groups: map[uint64][]Member{},
	}
	latest := s.latest()
	for _, t := range slices.SortedFunc(maps.Values(s.targets), compareTargets) {
		if latest[t.Address] != t.ID {
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

// departedMembers returns the departed targets: on each VM the one that left last, or
// started last if both left together, and none where another target is listed, as the
// agent is the same.
func (s *State) departedMembers() []Member {
	list := []Member{}
	taken := map[netip.Addr]bool{}
	for _, t := range s.targets {
		taken[t.Address.Addr()] = true
	}
	// Ages are differences, so those at time zero have the order of all times.
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

// latest returns the id of the target that started last at each address:
// addresses of targets that are gone are used again, also by other services.
func (s *State) latest() map[netip.AddrPort]string {
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

// Route finds the route of a service address.
func (n *Snapshot) Route(a netip.AddrPort) (Route, bool) {
	r, ok := n.Config.Routes[a]

	return r, ok
}
