package proof_test

import (
	"fmt"
	"testing"
	"time"

	"ibisfold.example/core/steer"
)

const (
	// opaqueRollSeeds is the number of worlds in which agents and entries are stopped
	// and started again in turn. More: IBISFOLD_SEEDS=100.
	opaqueRollSeeds = 12
	// opaqueRollTime is how long processes are stopped in turn.
	opaqueRollTime = 20 * time.Second
	// opaqueAgentStopInterval and opaqueEntryKillInterval are the times between two stops.
	// As each process is away for opaqueDowntime, three or four agents and one entry
	// are away at any moment.
	opaqueAgentStopInterval = 150 * time.Millisecond
	opaqueEntryKillInterval = 600 * time.Millisecond
	// opaqueEntryStopInterval is the time between two planned stops of entries, which
	// last for up to 3 s.
	opaqueEntryStopInterval = 900 * time.Millisecond
	// opaqueEntriesPerZone is the number of entries in each zone of opaqueSite.
	opaqueEntriesPerZone = 2
	// opaqueMaxRouterDelay bounds the time until routers notice that an entry stops.
	opaqueMaxRouterDelay = time.Second
	// opaqueEntryStopTimeout bounds the graceful shutdown of an entry.
	opaqueEntryStopTimeout = 5 * time.Second
	// opaqueMaxDeliveryGap bounds the time for which planned stops may keep the packets of
	// a flow from its target.
	opaqueMaxDeliveryGap = 1200 * time.Millisecond
)

// rollAgents stops all agents in turn, repeatedly for d.
func (w *opaqueWorld) rollAgents(d time.Duration) {
	i := w.random.IntN(len(w.agents))
	for at := time.Duration(0); at < d; at += opaqueAgentStopInterval {
		a := w.agents[i%len(w.agents)]
		i++
		w.After(at, func() {
			if !a.down {
				w.stopAgent(a, opaqueDowntime)
			}
		})
	}
}

// killEntries kills all entries in turn, repeatedly for d, and starts each again without
// flow state. The routers send no packets to an entry that is away.
func (w *opaqueWorld) killEntries(d time.Duration) {
	i := w.random.IntN(len(w.entries))
	for at := time.Duration(0); at < d; at += opaqueEntryKillInterval {
		e := w.entries[i%len(w.entries)]
		i++
		w.After(at, func() {
			e.down = true
			e.outOfRotation = true
			// Including packets that the routers have just sent to the entry.
			w.forgetCopiesAt(e)
		})
		w.After(at+opaqueDowntime, func() {
			w.startEntry(e)
			e.outOfRotation = false
		})
	}
}

// stopEntries stops all entries as planned in turn, repeatedly for d. The order changes
// zones with each stop, so that each zone keeps an entry.
func (w *opaqueWorld) stopEntries(d time.Duration) {
	i := w.random.IntN(len(w.entries))
	zones := len(w.entries) / opaqueEntriesPerZone
	for at := time.Duration(0); at < d; at += opaqueEntryStopInterval {
		e := w.entries[i%zones*opaqueEntriesPerZone+i/zones%opaqueEntriesPerZone]
		i++
		w.After(at, func() {
			w.stopEntry(e)
		})
	}
}

// stopEntry stops an entry as planned: the routers notice it within opaqueMaxRouterDelay,
// and the process runs until steer.Shutdown is done.
func (w *opaqueWorld) stopEntry(e *opaqueEntry) {
	shutdown := steer.Shutdown{
		Began:   w.Now,
		MaxTime: opaqueEntryStopTimeout,
	}
	w.log = append(w.log, fmt.Sprint(w.Now, " entry ", e.addr, " stops"))
	w.After(opaqueMaxRouterDelay/2+time.Duration(w.random.Int64N(int64(opaqueMaxRouterDelay/2))), func() {
		e.outOfRotation = true
	})
	w.awaitShutdown(e, &shutdown)
}

// awaitShutdown ends a stopping entry as soon as its shutdown is done, and starts its next
// process after opaqueDowntime.
func (w *opaqueWorld) awaitShutdown(e *opaqueEntry, shutdown *steer.Shutdown) {
	w.After(steer.TickTime, func() {
		if !shutdown.Done(w.Now, e.lastPacket) {
			w.awaitShutdown(e, shutdown)

			return
		}
		w.log = append(w.log, fmt.Sprint(w.Now, " entry ", e.addr, " ends"))
		e.down = true
		w.After(opaqueDowntime, func() {
			w.startEntry(e)
			e.outOfRotation = false
		})
	})
}

// opaqueRolls returns a world after agents were stopped in turn for opaqueRollTime, while
// rollEntries, either killEntries or stopEntries, ended the entries in turn.
func opaqueRolls(t *testing.T, seed uint64, disabled opaqueProtection, rollEntries func(*opaqueWorld, time.Duration)) *opaqueWorld {
	w := opaqueSite(t, seed, 5)
	w.disabled = disabled
	w.dedupe = true
	for _, pause := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
		w.addPersistentCallers(24, pause)
	}
	w.Run(2 * time.Second)
	w.rollAgents(opaqueRollTime)
	rollEntries(w, opaqueRollTime)
	w.Run(opaqueRollTime + 4*time.Second)

	return w
}

// testOpaqueRolls checks the worlds of all seeds. It does not bound the delivery gap in
// worlds without the handover of flow tables.
func testOpaqueRolls(t *testing.T, disabled opaqueProtection, rollEntries func(*opaqueWorld, time.Duration)) {
	longest := time.Duration(0)
	strays := 0
	for seed := range seedsOr(opaqueRollSeeds) {
		w := opaqueRolls(t, 9000+seed, disabled, rollEntries)
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", 9000+seed, len(w.violations), w.violations[0])
		}
		d := w.longestDeliveryGap()
		if d > opaqueMaxDeliveryGap && disabled != opaqueHandover {
			t.Errorf("seed %d: packets of a flow did not reach its target for %v", 9000+seed, d)
		}
		longest = max(longest, d)
		strays += w.strays
	}
	t.Logf("LongestSilence=%v Strays=%d", longest, strays)
}

// TestOpaqueTrialsOfTwoEntries guards against planned stops of agents that keep packets of
// a flow from their target for longer than 1.2 s (docs/incidents/inc-21.md), and against
// misrouted flows. Entries are killed meanwhile; packets lost with an entry do not count.
func TestOpaqueTrialsOfTwoEntries(t *testing.T) {
	testOpaqueRolls(t, opaqueAllProtections, (*opaqueWorld).killEntries)
}

// TestOpaquePlannedRolls guards against the same failures while agents and entries are
// stopped as planned, so that no packet is lost with an entry.
func TestOpaquePlannedRolls(t *testing.T) {
	testOpaqueRolls(t, opaqueAllProtections, (*opaqueWorld).stopEntries)
}

// TestOpaqueTrialsWithoutHandover guards against probes, which entries log as packets on
// trial, by several entries that add up to a misroute: three packets of an open flow reach
// other targets and none its own for 2 s. Without the handover of flow tables all agents
// are unsure after a stop.
func TestOpaqueTrialsWithoutHandover(t *testing.T) {
	testOpaqueRolls(t, opaqueHandover, (*opaqueWorld).killEntries)
}
