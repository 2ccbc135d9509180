package proof_test

import (
	"testing"
	"time"
)

// opaqueDeparted: entries of living targets are missing from lists, and agents are
// stopped in turn.
const opaqueDeparted opaqueKind = "departed"

// opaqueBurst is how long agents are stopped in turn as one fault.
const opaqueBurst = 2 * time.Second

// opaqueDepartedFaults are drawn besides in worlds of the kind opaqueDeparted.
var opaqueDepartedFaults = []opaqueFault{
	{"entry of a living target lapses", func(w *opaqueWorld) {
		w.unlist(w.unlistedTime(), w.anyAgent())
		w.publish()
	}},
	{"entry starts with a partial list", func(w *opaqueWorld) {
		w.unlist(w.unlistedTime(), w.someAgents()...)
		w.refreshCatalog()
		w.startEntry(w.anyEntry())
		// The others learn of it later.
		w.After(opaqueMaxSkew, w.publish)
	}},
	{"agents stopped in turn", func(w *opaqueWorld) { w.rollAgents(opaqueBurst) }},
}

func (w *opaqueWorld) unlistedTime() time.Duration {
	return time.Duration(w.random.Int64N(int64(opaqueMaxUnlistedTime)))
}

// someAgents returns one to three VMs.
func (w *opaqueWorld) someAgents() []*opaqueAgent {
	list := []*opaqueAgent{}
	for range 1 + w.random.IntN(3) {
		list = append(list, w.anyAgent())
	}

	return list
}

// Guards against any order of faults beside lists that lack living targets that ends
// or misroutes a living flow (docs/incidents/inc-21.md). More seeds: IBISFOLD_SEEDS=500.
func TestOpaqueFuzzDeparted(t *testing.T) {
	for seed := range seedsOr(opaqueFuzzSeeds) {
		if broken := opaqueFuzz(t, 1000+seed, opaqueAllProtections, opaqueDeparted); len(broken) > 0 {
			t.Errorf("seed %d, %s: %d broken, first: %s", 1000+seed, opaqueDeparted, len(broken), broken[0])
		}
	}
}
