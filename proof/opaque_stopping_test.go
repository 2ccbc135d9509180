package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// opaqueStoppingSeeds is the number of worlds of TestOpaqueEntryAsksStoppingAgent.
const opaqueStoppingSeeds = 10

// TestOpaqueEntryAsksStoppingAgent guards against resets of living flows by an entry that
// first hears an agent after the agent has announced its planned stop: it gets answers until
// the process ends, and must not take the silence that follows for a failure. Issue 39, FLOW.
func TestOpaqueEntryAsksStoppingAgent(t *testing.T) {
	for seed := range seedsOr(opaqueStoppingSeeds) {
		is := is.New(t)
		w := opaqueSite(t, 3900+seed, 3)
		w.dedupe = true
		w.unreliable = seed%2 == 1
		w.endTime = time.Duration(10+w.random.IntN(300)) * time.Millisecond
		callers := w.addPersistentCallers(60, 150*time.Millisecond)
		w.Run(2 * time.Second)
		opaqueTotals(callers)
		for i, a := range w.agents {
			w.stopAgent(a, opaqueStopDowntime)
			w.After(time.Duration(w.random.Int64N(int64(w.endTime))), func() {
				w.startEntry(w.entries[i%len(w.entries)])
			})
			w.Run(w.endTime + time.Second)
		}
		w.check()
		_, _, resets, _ := opaqueTotals(callers)
		is.Equal(resets, 0)
	}
}
