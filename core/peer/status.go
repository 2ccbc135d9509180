package peer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"ibisfold.example/core/mesh"
)

// MethodStatus is the method that returns a Status.
const MethodStatus = "Status"

// Suspect is a target whose agent is suspected to be down.
type Suspect struct {
	// Target is the identity of the target.
	Target uint64
	// Incarnation is that of the suspected agent.
	Incarnation uint64
}

// Status is the state of a process's control plane, as shown to operators.
type Status struct {
	Name        string
	Role        string
	Zone        string
	Incarnation uint64
	// Ticket is the highest ticket number in force.
	Ticket uint64
	// Floor is the number of the highest complete ticket.
	Floor uint64
	// Digest is a hash of the held tickets: equal digests mean equal states.
	Digest string
	// Confirmed is true while the lease on the process's view lasts.
	Confirmed bool
	// Reader is true for a process that reads the configuration service for its zone.
	Reader         bool
	Peers          []netip.AddrPort
	Suspects       []Suspect
	ConfigReads    uint64
	ConfigFailures uint64
}

// NewStatus returns the status of a core. Name is the process's name.
func NewStatus(name string, self mesh.Node, c *mesh.Core) Status {
	d := c.State().Digest()
	n := c.Counters()

	return Status{
		Name:           name,
		Role:           self.Role.String(),
		Zone:           self.Zone,
		Incarnation:    self.Incarnation,
		Ticket:         d.Highest,
		Floor:          d.Floor,
		Digest:         fmt.Sprintf("%016x", d.Hash),
		Confirmed:      c.ConfirmedUntil() > 0,
		Reader:         c.Reader(),
		Peers:          addresses(c.Peers()),
		Suspects:       suspects(c.Suspects()),
		ConfigReads:    n.ConfigReads,
		ConfigFailures: n.ConfigFailures,
	}
}

func addresses(nodes []mesh.Node) []netip.AddrPort {
	a := []netip.AddrPort{}
	for _, n := range nodes {
		a = append(a, n.Addr)
	}

	return a
}

func suspects(m map[uint64]uint64) []Suspect {
	s := []Suspect{}
	for t, i := range m {
		s = append(s, Suspect{
			Target:      t,
			Incarnation: i,
		})
	}
	slices.SortFunc(s, func(a, b Suspect) int {
		return cmp.Compare(a.Target, b.Target)
	})

	return s
}
