package proof_test

import (
	"testing"
	"time"
)

// opaqueDeparted: the target list temporarily lacks living targets, and agents are
// stopped in turn.
const opaqueDeparted opaqueKind = "departed"

// opaqueRollFaultTime is how long the fault "agents stopped in turn" lasts.
const opaqueRollFaultTime = 2 * time.Second

// opaqueDepartedFaults are the additional faults of worlds of the kind opaqueDeparted.
var opaqueDepartedFaults = []opaqueFault{
	{"living target missing from the list", func(w *opaqueWorld) {
		w.unlist(w.someUnlistedTime(), w.anyAgent())
		w.publish()
	}},
	{"entry starts with a partial list", func(w *opaqueWorld) {
		w.unlist(w.someUnlistedTime(), w.someAgents()...)
		w.list()
		w.startEntry(w.anyEntry())
		// The other entries learn of it later.
		w.After(opaqueMaxSkew, w.publish)
	}},
	{"agents stopped in turn", func(w *opaqueWorld) { w.rollAgents(opaqueRollFaultTime) }},
}

func (w *opaqueWorld) someUnlistedTime() time.Duration {
	return time.Duration(w.random.Int64N(int64(opaqueMaxUnlistedTime)))
}

// someAgents returns up to three random VMs.
func (w *opaqueWorld) someAgents() []*opaqueAgent {
	list := []*opaqueAgent{}
	for range 1 + w.random.IntN(3) {
		list = append(list, w.anyAgent())
	}

	return list
}

// TestOpaqueFuzzDeparted guards against living flows that end or are misrouted when
// faults in any order meet target lists that lack living targets
// (docs/incidents/inc-21.md). More seeds: IBISFOLD_SEEDS=500.
func TestOpaqueFuzzDeparted(t *testing.T) {
	for seed := range seedsOr(opaqueFuzzSeeds) {
		if violations := opaqueFuzz(t, 1000+seed, opaqueAllProtections, opaqueDeparted); len(violations) > 0 {
			t.Errorf("seed %d, %s: %d violations, first: %s", 1000+seed, opaqueDeparted, len(violations), violations[0])
		}
	}
}
