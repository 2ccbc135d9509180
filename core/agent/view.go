package agent

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

// View is what an agent needs of the state: its own target and the others of
// the same service. It is immutable once published.
type View struct {
	// Ticket is the highest ticket number merged.
	Ticket uint64
	// Known is false until the own target, its service and its zone exist.
	Known bool
	// Service, Zone and Target are identities of names; see ticket.ID.
	Service uint64
	Zone    uint64
	Target  uint64
	// ServiceName and Tenant label metrics.
	ServiceName string
	Tenant      string
	// ZoneInService is false if operators took the own zone out.
	ZoneInService bool
	Draining      bool
	Slots         int
	Connections   int
	// Peers are the other targets of the service in zones in service, by Target.
	Peers []Peer
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

// BuildView derives the view of the target called name from the state.
func BuildView(s *ticket.State, name string) *View {
	v := &View{
		Ticket: s.Highest(),
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
	v.Peers = buildPeers(s, own.Value)

	return v
}

func buildPeers(s *ticket.State, own ticket.Target) []Peer {
	peers := []Peer{}
	for n, o := range s.Targets {
		t := o.Value
		if o.Removed || n == own.Name || t.Service != own.Service {
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
