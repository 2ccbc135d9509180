package proof_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/steer"
)

const (
	// opaqueMaxAnswerTime bounds the time from a request to its answer while agents are
	// stopped in turn: 0.65 s for the agent that is away, and the waits between copies of
	// a packet and between the queries of a search.
	opaqueMaxAnswerTime = 1200 * time.Millisecond
	// opaqueStopDowntime is the time from an agent's stop to its next start.
	opaqueStopDowntime = 650 * time.Millisecond
	// opaqueHandoverSeeds is the number of worlds for each way to stop agents. More:
	// IBISFOLD_SEEDS=100.
	opaqueHandoverSeeds = 10
)

// opaqueStops is a way to stop all agents in turn, twice.
type opaqueStops struct {
	name string
	// interval is the time between two stops.
	interval time.Duration
	// replaceEvery is the number of stops after which the next entry is replaced by one
	// without flow state.
	replaceEvery int
}

// opaqueStopsResult is what callers and entries observed meanwhile.
type opaqueStopsResult struct {
	slowest  time.Duration
	resets   int
	searches int
	// unresolved counts the searches that ended without an owner, probed the packets that
	// were sent to unsure agents as probes.
	unresolved int
	probed     int
}

// run stops all agents of a site as planned, in turn, and returns what was observed.
func (s *opaqueStops) run(t *testing.T, seed uint64, disabled opaqueProtection) opaqueStopsResult {
	w := opaqueSite(t, seed, 5)
	w.disabled = disabled
	w.dedupe = true
	callers := w.addPersistentCallers(60, 150*time.Millisecond)
	for _, c := range callers {
		c.steadyRetries = true
	}
	w.Run(2 * time.Second)
	opaqueTotals(callers)
	w.log = nil
	w.probed = 0
	for i, a := range slices.Concat(w.agents, w.agents) {
		w.stopAgent(a, opaqueStopDowntime)
		if i%s.replaceEvery == 0 {
			w.startEntry(w.entries[i/s.replaceEvery%len(w.entries)])
		}
		w.Run(s.interval)
	}
	w.Run(2 * time.Second)
	w.check()
	x := opaqueStopsResult{
		probed: w.probed,
	}
	x.slowest, _, x.resets, _ = opaqueTotals(callers)
	for _, n := range w.log {
		if strings.Contains(n, steer.SearchStarted.String()) {
			x.searches++
		}
		if strings.Contains(n, steer.SearchUnresolved.String()) {
			x.unresolved++
		}
	}
	t.Logf("%s, seed %d: %+v", s.name, seed, x)

	return x
}

// In opaqueStopsOverlap two or three of the fifteen agents are away at any time, in
// opaqueStopsMany six or seven.
var (
	opaqueStopsOverlap = opaqueStops{
		name:         "overlapping stops",
		interval:     300 * time.Millisecond,
		replaceEvery: 2,
	}
	opaqueStopsMany = opaqueStops{
		name:         "many at a time",
		interval:     100 * time.Millisecond,
		replaceEvery: 4,
	}
)

// TestOpaqueFlowTablesOutliveStops guards against flows whose packets do not reach their
// targets while agents are stopped in turn: if agents lose their flow tables at a stop,
// entries without flow state have to probe targets. Issue 21, planned-rolls.
func TestOpaqueFlowTablesOutliveStops(t *testing.T) {
	for _, s := range []opaqueStops{opaqueStopsOverlap, opaqueStopsMany} {
		for seed := range seedsOr(opaqueHandoverSeeds) {
			is := is.New(t)
			x := s.run(t, 400+seed, opaqueAllProtections)
			is.True(x.searches > 50)
			is.Equal(x.resets, 0)
			is.Equal(x.unresolved, 0)
			is.True(x.slowest < opaqueMaxAnswerTime)
			is.Equal(x.probed, 0)
		}
	}
}

// TestOpaqueStopsWithoutHandover guards against a check in TestOpaqueFlowTablesOutliveStops
// that can't fail: without the handover of flow tables each world has slower answers, and
// probes.
func TestOpaqueStopsWithoutHandover(t *testing.T) {
	for seed := range uint64(opaqueHandoverSeeds) {
		is := is.New(t)
		x := opaqueStopsOverlap.run(t, 400+seed, opaqueHandover)
		is.True(x.slowest >= opaqueMaxAnswerTime)
		is.True(x.probed > 0)
		x = opaqueStopsMany.run(t, 400+seed, opaqueHandover)
		is.True(x.slowest >= 2*time.Second)
		is.True(x.probed > 0)
	}
}
