package proof_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// opaqueSlowest returns the median and the maximum of the callers' slowest answers.
func opaqueSlowest(callers []*opaqueCaller) (median, longest time.Duration) {
	times := []time.Duration{}
	for _, c := range callers {
		times = append(times, c.slowestAnswer)
	}
	slices.Sort(times)

	return times[len(times)/2], times[len(times)-1]
}

// killAgents kills all agents and starts them again one after the other, spread evenly
// between from and to.
func (w *opaqueWorld) killAgents(from, to time.Duration) {
	for i, a := range w.agents {
		a.down = true
		w.After(from+(to-from)*time.Duration(i)/time.Duration(len(w.agents)), func() {
			w.startAgent(a, false)
		})
	}
}

// opaqueOutage is a loss of processes after which entries have to search for the owners
// of flows.
type opaqueOutage struct {
	name    string
	targets int
	callers int
	run     func(w *opaqueWorld)
	// maxAnswerTime bounds the time from the caller's first packet to the answer. After a
	// loss of all processes at once it is the bound of TestOpaqueAllKilled; otherwise it
	// is the time until the last agent is back plus the 200 ms after which callers send a
	// copy.
	maxAnswerTime time.Duration
}

var opaqueOutages = []opaqueOutage{
	{
		name:    "all processes at once",
		targets: 3,
		callers: 60,
		run: func(w *opaqueWorld) {
			w.restartProcesses()
		},
		maxAnswerTime: 300 * time.Millisecond,
	},
	{
		name:    "all processes at once, 51 targets",
		targets: 17,
		callers: 480,
		run: func(w *opaqueWorld) {
			w.restartProcesses()
		},
		maxAnswerTime: 300 * time.Millisecond,
	},
	{
		name:    "all processes, agents back after 100 to 300 ms",
		targets: 3,
		callers: 60,
		run: func(w *opaqueWorld) {
			w.restartProcesses()
			w.killAgents(100*time.Millisecond, 300*time.Millisecond)
		},
		maxAnswerTime: 500 * time.Millisecond,
	},
	{
		name:    "entries, and one agent in each zone for 300 ms",
		targets: 3,
		callers: 60,
		run: func(w *opaqueWorld) {
			for i := 0; i < len(w.agents); i += 3 {
				w.agents[i].down = true
				w.After(300*time.Millisecond, func() {
					w.startAgent(w.agents[i], false)
				})
			}
			for _, e := range w.entries {
				w.startEntry(e)
			}
		},
		maxAnswerTime: 500 * time.Millisecond,
	},
}

// TestOpaqueSearchTimes guards against owner searches that take long once all agents are
// back, and against flows that are reset meanwhile. It logs the number of probes, which
// is high if packets go to many targets while an agent is missing.
func TestOpaqueSearchTimes(t *testing.T) {
	for i, o := range opaqueOutages {
		t.Run(o.name, func(t *testing.T) {
			is := is.New(t)
			w, callers := opaqueServing(t, uint64(30+i), o.targets, o.callers, 100*time.Millisecond)
			opaqueTotals(callers)
			w.probed = 0
			o.run(w)
			w.Run(2 * time.Second)
			median, longest := opaqueSlowest(callers)
			_, _, resets, timeouts := opaqueTotals(callers)
			t.Logf("Median=%v Longest=%v Probed=%d Resets=%d Timeouts=%d", median, longest, w.probed, resets, timeouts)
			w.check()
			is.Equal(resets, 0)
			is.True(longest <= o.maxAnswerTime)
		})
	}
}
