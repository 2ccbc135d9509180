package proof_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/steer"
)

// opaqueMaxUnlistedTime bounds how long a living target may be missing from the list:
// targets check in every 2 s, and lists are passed on within a second.
const opaqueMaxUnlistedTime = 3 * time.Second

// opaqueConfirmTime is the time between two confirmations of an unchanged view by an
// entry's upstream: a watch at a source takes a second at most.
const opaqueConfirmTime = time.Second

// inform passes an entry its view, as if the upstream had just sent or confirmed it. An
// entry of a world learns of routes and targets in no other way.
func (w *opaqueWorld) inform(e *opaqueEntry) {
	w.entryUpdate(e, steer.CatalogChanged{
		Snapshot:  e.view,
		Wall:      w.wall(),
		Confirmed: true,
	})
}

// opaqueStoreDelay is the duration of a call to the configuration service.
const opaqueStoreDelay = 15 * time.Millisecond

// confirmOnRequest answers an entry's request for a confirmation of its view. An entry whose view
// is behind stays so until the change reaches it in its own time.
func (w *opaqueWorld) confirmOnRequest(e *opaqueEntry) {
	if !e.down && !e.noUpdates && e.view != nil && e.viewVersion == w.version {
		w.entryUpdate(e, steer.CatalogConfirmed{
			MaxAge: opaqueStoreDelay,
		})
	}
}

// confirm lets the upstreams confirm the views of all entries that are up to date.
func (w *opaqueWorld) confirm() {
	for _, e := range w.entries {
		if !e.down && !e.noUpdates && e.view != nil && e.viewVersion == w.version {
			w.entryUpdate(e, steer.CatalogConfirmed{})
		}
	}
}

// unlist removes living targets from the list for d. Entries learn of it at the next
// publish.
func (w *opaqueWorld) unlist(d time.Duration, agents ...*opaqueAgent) {
	for _, a := range agents {
		w.log = append(w.log, fmt.Sprint(w.Now, " target at ", a.addr, " missing from the list for ", d))
		a.unlistedUntil = w.Now + d
	}
	w.After(d, w.publish)
}

// agentPerZone returns the first VM with a target in each zone.
func (w *opaqueWorld) agentPerZone() []*opaqueAgent {
	list := []*opaqueAgent{}
	seen := map[string]bool{}
	for _, a := range w.agents {
		if !seen[a.zone] {
			list = append(list, a)
		}
		seen[a.zone] = true
	}

	return list
}

// entryPerZone returns one of the two entries of each zone.
func (w *opaqueWorld) entryPerZone() []*opaqueEntry {
	list := []*opaqueEntry{}
	for i, e := range w.entries {
		if i%2 == 1 {
			list = append(list, e)
		}
	}

	return list
}

// checkFlowsKept checks that no caller lost a flow or timed out.
func checkFlowsKept(t *testing.T, w *opaqueWorld, callers []*opaqueCaller) {
	t.Helper()
	is := is.NewRelaxed(t)
	_, answers, resets, timeouts := opaqueTotals(callers)
	if len(w.violations) > 0 {
		t.Errorf("%d violations, first: %s", len(w.violations), w.violations[0])
	}
	is.True(answers > len(callers))
	is.Equal(resets, 0)
	is.Equal(timeouts, 0)
}

// TestOpaqueListIncomplete guards against flows that are reset because the list of an
// entry lacks their target, which is alive (docs/incidents/inc-21.md, hypothesis 2).
func TestOpaqueListIncomplete(t *testing.T) {
	t.Run("entry starts with a list that lacks targets", opaqueListAtStart)
	t.Run("stale list lacks targets started since", opaqueListStale)
	t.Run("agent stops while its target is missing", opaqueListDuringStop)
}

// opaqueListAtStart removes living targets from the list and then starts an entry in each
// zone.
func opaqueListAtStart(t *testing.T) {
	w := opaqueSite(t, 31, 2)
	callers := w.addPersistentCallers(60, 100*time.Millisecond)
	w.Run(2 * time.Second)
	opaqueTotals(callers)
	w.unlist(opaqueMaxUnlistedTime, w.agentPerZone()...)
	w.publish()
	w.Run(300 * time.Millisecond)
	for _, e := range w.entryPerZone() {
		w.startEntry(e)
	}
	w.Run(2 * opaqueMaxUnlistedTime)
	checkFlowsKept(t, w, callers)
}

// opaqueListStale starts targets while some entries get no updates. The entries that know
// the new targets place flows there and then leave the routers' rotation.
func opaqueListStale(t *testing.T) {
	w := opaqueSite(t, 32, 2)
	callers := w.addPersistentCallers(30, 100*time.Millisecond)
	w.Run(time.Second)
	for _, e := range w.entries {
		e.noUpdates = true
	}
	ahead := w.entryPerZone()
	for _, e := range ahead {
		e.noUpdates = false
	}
	added := []*opaqueAgent{}
	for z, zone := range []string{"a", "b", "c"} {
		a := w.addAgent(zone, fmt.Sprintf("10.%d.2.9:%d", z, opaqueRelayPort), opaqueService, true)
		a.target.born = w.wall()
		added = append(added, a)
	}
	w.publish()
	w.Run(opaqueMaxUnlistedTime)
	callers = append(callers, w.addPersistentCallers(90, 100*time.Millisecond)...)
	w.Run(time.Second)
	opaqueTotals(callers)
	for _, a := range added {
		if a.target.served == 0 {
			t.Fatalf("no flow was placed on the new target at %v", a.addr)
		}
	}
	for _, e := range ahead {
		e.outOfRotation = true
	}
	w.Run(time.Second)
	for _, e := range w.entries {
		e.noUpdates = false
	}
	w.publish()
	w.Run(opaqueMaxUnlistedTime)
	checkFlowsKept(t, w, callers)
}

// opaqueListDuringStop stops agents as planned while the list lacks their targets.
func opaqueListDuringStop(t *testing.T) {
	w := opaqueSite(t, 33, 2)
	callers := w.addPersistentCallers(60, 100*time.Millisecond)
	w.Run(2 * time.Second)
	opaqueTotals(callers)
	missing := w.agentPerZone()
	w.unlist(opaqueMaxUnlistedTime, missing...)
	w.publish()
	for _, a := range missing {
		w.Run(300 * time.Millisecond)
		w.stopAgent(a, opaqueDowntime)
	}
	w.Run(2 * opaqueMaxUnlistedTime)
	checkFlowsKept(t, w, callers)
	if gap := w.longestDeliveryGap(); gap > opaqueMaxDeliveryGap {
		t.Errorf("packets of a flow did not reach its target for %v", gap)
	}
}
