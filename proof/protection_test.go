package proof_test

import (
	"maps"
	"slices"
	"testing"

	"ibisfold.example/core/ticket"
)

// protection names a protection of the system that a test breaks, to prove that the
// checks detect its loss.
type protection int

const (
	breakNothing protection = iota
	// breakFencing makes agents accept packets that name another target or incarnation.
	breakFencing
	// breakMerge puts the ticket of the latest read in force instead of the one with
	// the highest number.
	breakMerge
	// breakLease makes the lease on a view infinite, so that a paused process acts on
	// an outdated view.
	breakLease
	// breakChain makes agents drop packets that a former owner passes on, and keeps
	// former owners from announcing the new owner.
	breakChain
	// breakAtMostOnce makes agents treat each copy of a request as a new request.
	breakAtMostOnce
	// breakAdmission hides the target's restarts from the agent and raises the agent's
	// limit of requests.
	breakAdmission
	// breakZone makes entries route to zones that are out of service.
	breakZone
)

var protectionNames = map[protection]string{
	breakFencing:    "fencing",
	breakMerge:      "highest number wins",
	breakLease:      "paused process",
	breakChain:      "chain of owners",
	breakAtMostOnce: "at most once",
	breakAdmission:  "admission limit",
	breakZone:       "zone check at the entry",
}

// withAllZones returns the state with all zones in service.
func withAllZones(s *ticket.State) *ticket.State {
	c := &ticket.State{}
	for _, v := range s.Versions() {
		c.Merge(s.Held(v))
	}
	t := &ticket.Ticket{
		Version: ticket.Version{
			Number: s.Highest(),
			Hash:   1<<64 - 1,
		},
	}
	t.Number = s.Highest()
	for _, n := range slices.Sorted(maps.Keys(s.Zones)) {
		t.Zones = append(t.Zones, ticket.Zone{
			Name:      n,
			InService: true,
		})
	}
	c.Merge(t)

	return c
}

// protectionSeeds bounds the number of seeds that are tried per broken protection. One
// seed is not enough, because any change of a core shifts the moment of a fault.
const protectionSeeds = 64

// TestProtections guards against checks that can't fail: a cell of the matrix has to
// detect each broken protection with one of the seeds, and the same cell and seed have
// to pass with the protection in place.
func TestProtections(t *testing.T) {
	for _, c := range []struct {
		disabled  protection
		invariant string
		cell      string
	}{
		{breakFencing, "service", "replace VM / to_agent lost / during"},
		{breakMerge, "drain", "five tickets / entry joins / before"},
		{breakLease, "zone out", "zone out / entry pauses 10 s / before"},
		{breakChain, "flow", "drain / none / before"},
		{breakAtMostOnce, "once", "none / none / before"},
		{breakAdmission, "cold", "replace VM / target goes cold twice / during"},
		{breakZone, "zone out", "zone out / agent pauses 10 s / before"},
	} {
		t.Run(protectionNames[c.disabled], func(t *testing.T) {
			seed, inputs := findProtection(cellNamed(t, c.cell), c.disabled, c.invariant)
			if seed == 0 {
				t.Fatalf("cell %s does not detect the broken protection with any of %d seeds", c.cell, protectionSeeds)
			}
			t.Logf("found by cell %s, seed %d, after %d inputs", c.cell, seed, inputs)
			if s := runCell(cellNamed(t, c.cell), seed, breakNothing); len(s.oracle.failures) > 0 {
				t.Errorf("cell %s fails with the protection in place: %s", c.cell, s.oracle.first)
			}
		})
	}
}

// findProtection returns the first seed with which the cell violates the invariant
// under the broken protection, and the number of inputs of that run. Both are 0 if
// there is none.
func findProtection(c cell, b protection, invariant string) (seed, inputs uint64) {
	for seed := uint64(1); seed <= protectionSeeds; seed++ {
		s := runCell(c, seed, b)
		if s.oracle.failures[invariant] > 0 {
			return seed, s.inputs
		}
	}

	return 0, 0
}

// TestFindProtections runs cells of the matrix and worlds of the fuzzer with the
// protection of the flag -broken broken, to find cells for TestProtections.
func TestFindProtections(t *testing.T) {
	if *brokenFlag == 0 {
		t.Skip("no -broken")
	}
	b := protection(*brokenFlag)
	list := cells()
	if *cellFlag == "" {
		list = sample(list)
	}
	for _, r := range runCells(list, *seedFlag, b, 8) {
		if len(r.failures) > 0 {
			t.Logf("cell %s: %s: %s", r.cell, formatCounts(r.failures), r.first)
		}
	}
	inputs := uint64(0)
	for _, v := range runWorlds(*seedFlag, 0, 64, b) {
		inputs += v.inputs
		if len(v.failures) > 0 {
			t.Logf("world %d after %d inputs: %s: %s", v.seed, inputs, formatCounts(v.failures), v.first)
		}
	}
}

func cellNamed(t *testing.T, name string) cell {
	for _, c := range cells() {
		if c.String() == name {
			return c
		}
	}
	t.Fatalf("no cell %q", name)

	return cell{}
}
