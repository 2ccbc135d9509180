package proof_test

import (
	"fmt"
	"testing"
	"time"
)

const (
	// opaqueDeployments is the number of random deployments that CI runs. More:
	// IBISFOLD_SEEDS=500.
	opaqueDeployments = 30
	// opaqueDeploymentFaults is the number of faults in each deployment.
	opaqueDeploymentFaults = 12
)

// opaqueDeployment returns a world with a random number of zones and VMs and random
// slots, work times and link speeds, and its callers.
func opaqueDeployment(t *testing.T, seed uint64) (*opaqueWorld, []*opaqueCaller) {
	w := newOpaqueWorld(t, seed)
	w.linkRate = []int{0, 1_250_000, 25_000_000}[w.random.IntN(3)]
	zones := 1 + w.random.IntN(5)
	slots := 1 + w.random.IntN(7)
	workTime := time.Duration(5+w.random.IntN(50)) * time.Millisecond
	capacity := 0
	for z := range zones {
		zone := string(rune('a' + z))
		for i := range 1 + w.random.IntN(3) {
			w.addEntry(zone, fmt.Sprintf("10.%d.1.%d:%d", z, i+1, opaqueRelayPort))
		}
		for i := range 1 + w.random.IntN(4) {
			a := w.addAgent(zone, fmt.Sprintf("10.%d.2.%d:%d", z, i+1, opaqueRelayPort), opaqueService, true)
			a.target.slots = slots
			a.target.workTime = workTime
			capacity += slots
		}
		// A fault may move the route to this service, which then takes the whole load.
		for i := range 4 {
			a := w.addAgent(zone, fmt.Sprintf("10.%d.3.%d:%d", z, i+1, opaqueRelayPort), "kartendienst", true)
			a.target.slots = slots
			a.target.workTime = workTime
		}
	}
	w.publish()
	w.startTicks()
	callers := []*opaqueCaller{}
	for i := range max(2, capacity) {
		pause := 4 * workTime
		if i%4 == 0 {
			pause = 3 * time.Second
		}
		callers = append(callers, w.addCaller(string(rune('a'+i%zones)), pause))
	}

	return w, callers
}

// TestOpaqueDeployments guards against decisions that suit only sites with three zones
// and the usual sizes. The deployments have 1 to 5 zones with one or more entries and
// targets each, 1 to 7 slots, work times of 5 to 55 ms and links of 10 Mbit/s or more.
func TestOpaqueDeployments(t *testing.T) {
	for seed := range seedsOr(opaqueDeployments) {
		w, callers := opaqueDeployment(t, 5000+seed)
		w.unreliable = seed%2 == 1
		w.dedupe = true
		w.Run(time.Second)
		for range opaqueDeploymentFaults {
			f := opaqueFaults[w.random.IntN(len(opaqueFaults))]
			w.faultLog = append(w.faultLog, fmt.Sprint(w.Now, " ", f.name))
			f.run(w)
			w.Run(time.Duration(w.random.Int64N(int64(time.Second))))
		}
		for _, a := range w.agents {
			a.target.draining = false
		}
		w.publish()
		w.checkRecovery(callers)
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", 5000+seed, len(w.violations), w.violations[0])
		}
	}
}
