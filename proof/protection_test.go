package proof_test

import (
	"maps"
	"slices"
	"testing"

	"ibisfold.example/core/ticket"
)

// protection names a safeguard that a test breaks to prove that the checks
// can fail.
type protection int

const (
	breakNothing protection = iota
	// breakFencing makes agents take packets for another target or start for their own.
	breakFencing
	// breakMerge makes the read that comes last win instead of the highest number.
	breakMerge
	// breakPause makes the lease on a view endless.
	breakPause
	// breakChain makes agents drop what a former owner passes on, and former
	// owners not announce the new one.
	breakChain
	// breakAtMostOnce makes agents take each copy of a request for a new one.
	breakAtMostOnce
	// breakAdmission hides cold starts from the agent and lifts its limit.
	breakAdmission
	// breakZone makes entries route to zones that were taken out.
	breakZone
)

var protectionNames = map[protection]string{
	breakFencing:    "fencing",
	breakMerge:      "highest number wins",
	breakPause:      "paused process",
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

// protectionSeeds bounds the seeds that a broken protection is looked for with.
// A change of a core moves the moment of a fault, so a single seed is too narrow.
const protectionSeeds = 64

// TestProtections guards against checks that can't fail: the matrix must find
// each broken safeguard in its cell with one of the seeds, and the same cell and
// seed must pass with the safeguard.
func TestProtections(t *testing.T) {
	for _, c := range []struct {
		broken    protection
		invariant string
		cell      string
	}{
		{breakFencing, "service", "replace VM / to_agent lost / during"},
		{breakMerge, "drain", "five tickets / entry joins / before"},
		{breakPause, "zone out", "zone out / entry pauses 10 s / before"},
		{breakChain, "flow", "drain / none / before"},
		{breakAtMostOnce, "once", "none / none / before"},
		{breakAdmission, "cold", "replace VM / target goes cold twice / during"},
		{breakZone, "zone out", "zone out / agent pauses 10 s / before"},
	} {
		t.Run(protectionNames[c.broken], func(t *testing.T) {
			seed, steps := findProtection(cellNamed(t, c.cell), c.broken, c.invariant)
			if seed == 0 {
				t.Fatalf("cell %s does not find it with %d seeds", c.cell, protectionSeeds)
			}
			t.Logf("found by cell %s, seed %d, after %d steps", c.cell, seed, steps)
			if s := runCell(cellNamed(t, c.cell), seed, breakNothing); len(s.oracle.failures) > 0 {
				t.Errorf("cell %s fails by itself: %s", c.cell, s.oracle.first)
			}
		})
	}
}

// findProtection returns the first seed with which the cell shows the broken
// protection, and the number of steps that it took, or 0.
func findProtection(c cell, b protection, invariant string) (seed, steps uint64) {
	for seed := uint64(1); seed <= protectionSeeds; seed++ {
		s := runCell(c, seed, b)
		if s.oracle.failures[invariant] > 0 {
			return seed, s.steps
		}
	}

	return 0, 0
}

// TestFindProtections runs the matrix sample and the fuzzer with -broken, to
// find cells and worlds for TestProtections.
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
	steps := uint64(0)
	for _, v := range runWorlds(*seedFlag, 0, 64, b) {
		steps += v.steps
		if len(v.failures) > 0 {
			t.Logf("world %d after %d steps: %s: %s", v.seed, steps, formatCounts(v.failures), v.first)
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
