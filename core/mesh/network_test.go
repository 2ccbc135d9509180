package mesh_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/mesh/meshtest"
	"ibisfold.example/core/ticket"
)

var zones = []string{"iphofen", "escherndorf", "randersacker"}

// text returns a ticket that takes zone out of service, or that defines one
// zone of its own if zone is empty. padding is the number of further zones,
// which make it longer.
func text(number int, zone string, padding int) []byte {
	t := fmt.Sprintf("Ticket: %d\nReason: test\nZones:\n", number)
	if zone != "" {
		t += fmt.Sprintf("  - Name: %s\n    InService: false\n", zone)
	} else {
		t += fmt.Sprintf("  - Name: zone-%d\n", number)
	}
	for i := range padding {
		// Hashed names can't be compressed away.
		t += fmt.Sprintf("  - Name: z%016x\n", ticket.ID(fmt.Sprint(number, i)))
	}

	return []byte(t)
}

func version(t []byte) ticket.Version {
	p, err := ticket.Parse(t)
	if err != nil {
		panic(err)
	}

	return p.Version
}

// cluster starts n nodes in three zones. The first three nodes are the seeds.
func cluster(seed uint64, n int) *meshtest.Network {
	w := meshtest.New(seed)
	seeds := []netip.AddrPort{}
	for i := range n {
		v := w.Add(mesh.RoleEntry, zones[i%3], i%3, seeds...)
		if i < 3 {
			seeds = append(seeds, v.Self.Addr)
		}
	}

	return w
}

// convergedCluster starts a cluster and waits until it has merged ticket 1.
func convergedCluster(t *testing.T, seed uint64, n int) *meshtest.Network {
	t.Helper()
	w := cluster(seed, n)
	w.Config.Set(w, text(1, "", 0))
	is.New(t).True(w.RunUntil(30*time.Second, w.Converged))
	w.Run(10 * time.Second)

	return w
}

// reached reports whether all nodes have the same state, whose highest ticket
// is number.
func reached(w *meshtest.Network, number uint64) func() bool {
	return func() bool {
		return w.Converged() && w.Nodes[0].Core.State().Highest() == number
	}
}

// confirmed counts the running nodes with a confirmed view.
func confirmed(w *meshtest.Network) int {
	k := 0
	for _, v := range w.Nodes {
		if !v.Down && v.Core.ConfirmedUntil() > w.Now {
			k++
		}
	}

	return k
}

// TestSmallTicket guards against a small ticket that doesn't reach all nodes
// within 3 s.
func TestSmallTicket(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 1, 30)
	is.Equal(confirmed(w), 30)

	w.Config.Set(w, text(1, "", 0), text(2, "", 0))
	is.True(w.RunUntil(3*time.Second, reached(w, 2)))
}

// TestLargeTicket guards against chunked transfers that stall under loss,
// duplication and reordering.
func TestLargeTicket(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 2, 30)
	w.Loss = 0.1
	w.Duplicate = 0.1
	w.Config.Set(w, text(1, "", 0), text(2, "", 400))
	is.True(len(mesh.Compress(text(2, "", 400))) > mesh.MaxPushBytes)
	is.True(w.RunUntil(13*time.Second, reached(w, 2)))
}
