package proof_test

import (
	"testing"
	"time"
)

const (
	// opaqueTrialSeeds is the number of worlds in which agents and entries are
	// replaced in turn. More: IBISFOLD_SEEDS=100.
	opaqueTrialSeeds = 12
	// opaqueRollTime is how long the stops go on.
	opaqueRollTime = 20 * time.Second
	// opaqueAgentTurn and opaqueEntryTurn are the times between two stops: with
	// opaqueRestart for each, three or four agents and one entry are away at any moment.
	opaqueAgentTurn = 150 * time.Millisecond
	opaqueEntryTurn = 600 * time.Millisecond
	// opaqueLeaveTime is how long an entry that stops goes on for packets that the
	// routers had sent it.
	opaqueLeaveTime = 50 * time.Millisecond
	// opaqueReachTime is how long a planned stop may keep a flow from its target.
	opaqueReachTime = 1200 * time.Millisecond
)

// rollAgents stops all agents in turn, again and again for a while.
func (w *opaqueWorld) rollAgents(d time.Duration) {
	i := w.random.IntN(len(w.agents))
	for at := time.Duration(0); at < d; at += opaqueAgentTurn {
		a := w.agents[i%len(w.agents)]
		i++
		w.After(at, func() {
			if !a.down {
				w.stopAgent(a, opaqueRestart)
			}
		})
	}
}

// rollEntries replaces all entries in turn, again and again for a while. The routers
// pass an entry by from a moment before it stops.
func (w *opaqueWorld) rollEntries(d time.Duration) {
	i := w.random.IntN(len(w.entries))
	for at := time.Duration(0); at < d; at += opaqueEntryTurn {
		e := w.entries[i%len(w.entries)]
		i++
		w.After(at, func() { e.rotated = true })
		w.After(at+opaqueLeaveTime, func() { e.down = true })
		w.After(at+opaqueLeaveTime+opaqueRestart, func() {
			w.startEntry(e)
			e.rotated = false
		})
	}
}

// opaqueRolls returns a world after agents and entries were replaced in turn.
func opaqueRolls(t *testing.T, seed uint64) *opaqueWorld {
	w := opaqueSite(t, seed, 5)
	w.once = true
	for _, pause := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
		w.addPatient(24, pause)
	}
	w.Run(2 * time.Second)
	w.rollAgents(opaqueRollTime)
	w.rollEntries(opaqueRollTime)
	w.Run(opaqueRollTime + 2*time.Second)

	return w
}

// Guards against trials of several entries that add up: three packets of an open flow
// at other targets and none at its own for 2 s, and flows that planned stops keep from
// their targets for longer than 1.2 s (docs/incidents/inc-21.md).
func TestOpaqueTrialsOfTwoEntries(t *testing.T) {
	longest := time.Duration(0)
	strays := 0
	for seed := range seedsOr(opaqueTrialSeeds) {
		w := opaqueRolls(t, 9000+seed)
		if len(w.broken) > 0 {
			t.Errorf("seed %d: %d broken, first: %s", 9000+seed, len(w.broken), w.broken[0])
		}
		longest = max(longest, w.longestSilence())
		strays += w.strays
	}
	t.Logf("LongestSilence=%v Strays=%d", longest, strays)
	if longest > opaqueReachTime {
		t.Errorf("packets of a flow did not reach its target for %v", longest)
	}
}
