package proof_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// opaqueSlowest returns the median and the longest of the callers' longest answers.
func opaqueSlowest(callers []*opaqueCaller) (median, longest time.Duration) {
	times := []time.Duration{}
	for _, c := range callers {
		times = append(times, c.slowestAnswer)
	}
	slices.Sort(times)

	return times[len(times)/2], times[len(times)-1]
}

// killAgents kills all agents, and starts each again after from to to.
func (w *opaqueWorld) killAgents(from, to time.Duration) {
	for i, a := range w.agents {
		a.down = true
		w.After(from+(to-from)*time.Duration(i)/time.Duration(len(w.agents)), func() {
			w.startAgent(a, false)
		})
	}
}

// opaqueOutage is a loss of processes after which flows have to be found again.
type opaqueOutage struct {
	name    string
	targets int
	callers int
	run     func(w *opaqueWorld)
	// longest bounds the time of an answer, from the caller's first packet: what other
	// tests allow after a loss of all processes, or the return of the last agent and the
	// 200 ms after which callers send a copy.
	longest time.Duration
}

var opaqueOutages = []opaqueOutage{
	{
		name:    "all processes at once",
		targets: 3,
		callers: 60,
		run: func(w *opaqueWorld) {
			w.restartProcesses()
		},
		longest: 300 * time.Millisecond,
	},
	{
		name:    "all processes at once, 51 targets",
		targets: 17,
		callers: 480,
		run: func(w *opaqueWorld) {
			w.restartProcesses()
		},
		longest: 300 * time.Millisecond,
	},
	{
		name:    "all processes, agents back after 100 to 300 ms",
		targets: 3,
		callers: 60,
		run: func(w *opaqueWorld) {
			w.restartProcesses()
			w.killAgents(100*time.Millisecond, 300*time.Millisecond)
		},
		longest: 500 * time.Millisecond,
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
		longest: 500 * time.Millisecond,
	},
}

// Guards against a search that takes long once all agents are there, and against one
// that passes packets to many targets while an agent is missing.
func TestOpaqueSearchTimes(t *testing.T) {
	for i, o := range opaqueOutages {
		t.Run(o.name, func(t *testing.T) {
			is := is.New(t)
			w, callers := opaqueServing(t, uint64(30+i), o.targets, o.callers, 100*time.Millisecond)
			opaqueTotals(callers)
			w.probes = 0
			o.run(w)
			w.Run(2 * time.Second)
			median, longest := opaqueSlowest(callers)
			_, _, resets, timeouts := opaqueTotals(callers)
			t.Logf("Median=%v Longest=%v Probed=%d Resets=%d Timeouts=%d", median, longest, w.probes, resets, timeouts)
			w.check()
			is.Equal(resets, 0)
			is.True(longest <= o.longest)
		})
	}
}
