package agent

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

// View is the part of the ticket state that an agent needs: its target and the
// other targets of the same service. It is immutable once published.
type View struct {
	// Ticket is the highest ticket number merged.
	Ticket uint64
	// Known is false until the agent's target, its service and its zone exist.
	Known bool
	// Service, Zone and Target are the identities of names; see ticket.ID.
	Service uint64
	Zone    uint64
	Target  uint64
	// ServiceName and Tenant label metrics.
	ServiceName string
	Tenant      string
	// ZoneInService is false if operators took the target's zone out of service.
	ZoneInService bool
	Draining      bool
	Slots         int
	Connections   int
	// ServiceTime is the service time that the ticket states for a warm target;
	// zero if unknown.
	ServiceTime time.Duration
	// Peers are the other targets of the service in zones in service, sorted by
	// Target.
	Peers []Peer
	// Former are the groups of services that the target served earlier and that
	// BuildView was asked to include.
	Former []Group
	// ZonesOut are the zones out of service, in ascending order.
	ZonesOut []uint64
	// ConfirmedUntil is the end of the lease on this view.
	ConfirmedUntil time.Duration
}

// Peer is another target of the same service.
type Peer struct {
	Target   uint64
	Zone     uint64
	Agent    netip.AddrPort
	Slots    int
	Draining bool
}

// Group lists the targets of a service in zones in service.
type Group struct {
	Service uint64
	// Peers are sorted by Target.
	Peers []Peer
}

// zoneOut reports whether operators took a zone out of service.
func (v *View) zoneOut(zone uint64) bool {
	_, ok := slices.BinarySearch(v.ZonesOut, zone)

	return ok
}

// BuildView derives the view of the target called name from the state. The
// argument former lists the services whose groups the agent still needs; see
// WatchServices.
func BuildView(s *ticket.State, name string, former ...uint64) *View {
	v := &View{
		Ticket:   s.Highest(),
		ZonesOut: zonesOut(s),
		Former:   buildFormer(s, name, former),
	}
	own, ok := s.Targets[name]
	if !ok || own.Removed {
		return v
	}
	service, ok := s.Services[own.Value.Service]
	if !ok || service.Removed {
		return v
	}
	zone, ok := s.Zones[own.Value.Zone]
	if !ok || zone.Removed {
		return v
	}

	v.Known = true
	v.Service = ticket.ID(own.Value.Service)
	v.Zone = ticket.ID(own.Value.Zone)
	v.Target = ticket.ID(name)
	v.ServiceName = service.Value.Name
	v.Tenant = service.Value.Tenant
	v.ZoneInService = zone.Value.InService
	v.Draining = own.Value.State == ticket.Draining
	v.Slots = own.Value.Slots
	v.Connections = own.Value.Connections
	v.ServiceTime = service.Value.ServiceTime
	v.Peers = buildPeers(s, name, v.Service)

	return v
}

func zonesOut(s *ticket.State) []uint64 {
	out := []uint64{}
	for n, z := range s.Zones {
		if !z.Removed && !z.Value.InService {
			out = append(out, ticket.ID(n))
		}
	}
	slices.Sort(out)

	return out
}

func buildFormer(s *ticket.State, name string, services []uint64) []Group {
	groups := make([]Group, 0, len(services))
	for _, v := range services {
		groups = append(groups, Group{
			Service: v,
			Peers:   buildPeers(s, name, v),
		})
	}

	return groups
}

// buildPeers returns the targets of a service in zones in service, except the
// target called own.
func buildPeers(s *ticket.State, own string, service uint64) []Peer {
	peers := []Peer{}
	for n, o := range s.Targets {
		t := o.Value
		if o.Removed || n == own || ticket.ID(t.Service) != service {
			continue
		}
		if z := s.Zones[t.Zone]; z.Removed || !z.Value.InService {
			continue
		}
		peers = append(peers, Peer{
			Target:   ticket.ID(n),
			Zone:     ticket.ID(t.Zone),
			Agent:    t.Agent,
			Slots:    t.Slots,
			Draining: t.State == ticket.Draining,
		})
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(a.Target, b.Target)
	})

	return peers
}
