package proof_test

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// opaqueStep is a planned change while opaque flows are served.
type opaqueStep struct {
	name string
	run  func(w *opaqueWorld)
}

// opaqueCellStride is the distance between the cells that CI runs. IBISFOLD_CELLS=all
// runs all cells.
const opaqueCellStride = 4

// opaqueMaxStepTime bounds the duration of a step.
const opaqueMaxStepTime = 3 * time.Second

var opaqueSteps = []opaqueStep{
	{"none", func(*opaqueWorld) {}},
	{"target drains and leaves", func(w *opaqueWorld) {
		a := w.agents[0]
		a.target.draining = true
		w.publish()
		w.After(opaqueMaxStepTime, func() {
			a.impair(w.Now + time.Hour)
			a.target.gone = true
			w.publish()
		})
	}},
	{"target is added", func(w *opaqueWorld) {
		a := w.addAgent("a", fmt.Sprintf("10.0.2.9:%d", opaqueRelayPort), opaqueService, true)
		a.target.born = w.wall()
		w.publish()
	}},
	{"route moves", func(w *opaqueWorld) {
		w.routeService = "kartendienst"
		w.publish()
	}},
	{"route moves to and fro", func(w *opaqueWorld) {
		for i, service := range []string{"kartendienst", opaqueService, "kartendienst"} {
			w.After(time.Duration(i)*time.Second, func() {
				w.routeService = service
				w.publish()
			})
		}
	}},
	{"entries are replaced in turn", func(w *opaqueWorld) {
		for i, e := range w.entries {
			at := time.Duration(i) * opaqueDowntime
			w.After(at, func() {
				e.down = true
				e.outOfRotation = true
			})
			w.After(at+opaqueDowntime, func() {
				w.startEntry(e)
				e.outOfRotation = false
			})
		}
	}},
	{"agents are replaced in turn", func(w *opaqueWorld) {
		for i, a := range w.agents {
			w.After(time.Duration(i)*opaqueDowntime/2, func() {
				if !a.down {
					w.stopAgent(a, opaqueDowntime)
				}
			})
		}
	}},
}

// opaqueRollSteps are steps that replace agents and entries at the same time.
var opaqueRollSteps = []opaqueStep{
	{"agents and entries are replaced in turn at the same time", func(w *opaqueWorld) {
		w.addPersistentCallers(12, time.Second)
		w.rollAgents(opaqueMaxStepTime)
		w.killEntries(opaqueMaxStepTime)
	}},
}

// opaqueMoments are the times of a fault, relative to the start of the step.
var opaqueMoments = []struct {
	name string
	at   time.Duration
}{
	{"before", -300 * time.Millisecond},
	{"during", 700 * time.Millisecond},
	{"after", opaqueMaxStepTime + 200*time.Millisecond},
}

// opaqueCell runs one fault twice in a row, 200 ms apart, at one moment of one step, and
// returns the violations.
func opaqueCell(t *testing.T, seed uint64, s *opaqueStep, f *opaqueFault, at time.Duration, kind opaqueKind) []string {
	w := opaqueSite(t, seed, 2)
	w.unreliable = kind == opaqueUnreliable
	if kind == opaqueSkewed {
		w.maxSkew = opaqueMaxSkew
	}
	for z, zone := range []string{"a", "b", "c"} {
		w.addAgent(zone, fmt.Sprintf("10.%d.3.1:%d", z, opaqueRelayPort), "kartendienst", true)
	}
	w.publish()
	callers := append(w.addCallers(18, 50*time.Millisecond), w.addCallers(6, time.Second)...)
	const begin = 2500 * time.Millisecond
	w.After(begin, func() { s.run(w) })
	w.After(begin+at, func() { f.run(w) })
	w.After(begin+at+200*time.Millisecond, func() { f.run(w) })
	w.Run(begin + opaqueMaxStepTime)
	w.checkRecovery(callers)

	return w.violations
}

// TestOpaqueMatrix guards against living flows that end, and callers that are left without
// service, when a fault meets a planned change: every fault, twice, before, during and
// after every step, in worlds of the kinds orderly, skewed and messy.
func TestOpaqueMatrix(t *testing.T) {
	opaqueCells(t, opaqueSteps, 7000)
}

// TestOpaqueMatrixRolls guards against the same failures, and misrouted flows, while
// agents and entries are replaced in turn at the same time (docs/incidents/inc-21.md).
func TestOpaqueMatrixRolls(t *testing.T) {
	opaqueCells(t, opaqueRollSteps, 7630)
}

// opaqueCells runs the cells of the given steps. The seed of a cell is the sum of its
// number and seed.
func opaqueCells(t *testing.T, steps []opaqueStep, seed int) {
	cells := 0
	all := os.Getenv("IBISFOLD_CELLS")
	for i := range steps {
		for j := range opaqueFaults {
			for _, m := range opaqueMoments {
				for _, kind := range []opaqueKind{opaqueOrderly, opaqueSkewed, opaqueUnreliable} {
					cells++
					if all == "" && cells%opaqueCellStride != 0 {
						continue
					}
					s, f := &steps[i], &opaqueFaults[j]
					if violations := opaqueCell(t, uint64(seed+cells), s, f, m.at, kind); len(violations) > 0 {
						t.Errorf("%s / %s / %s / %s: %d violations, first: %s", s.name, f.name, m.name, kind, len(violations), violations[0])
					}
				}
			}
		}
	}
	t.Logf("Cells=%d", cells)
}
