package peer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"ibisfold.example/core/mesh"
)

// MethodStatus is the method that answers with a Status.
const MethodStatus = "Status"

// Suspect is a suspected target.
type Suspect struct {
	Target      uint64
	Incarnation uint64
}

// Status is what a process tells operators about its control plane.
type Status struct {
	Name        string
	Role        string
	Zone        string
	Incarnation uint64
	// Ticket is the highest ticket number in force.
	Ticket uint64
	// Floor is the number of the highest complete ticket.
	Floor uint64
	// Digest identifies the state: equal digests mean equal states.
	Digest         string
	Confirmed      bool
	Reader         bool
	Peers          []netip.AddrPort
	Suspects       []Suspect
	ConfigReads    uint64
	ConfigFailures uint64
}

// NewStatus describes a core. Name is the process's name.
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
