package proof_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxActions bounds the number of actions of one world.
const maxActions = 30

// drawAction and drawActions generate random actions. They are drawn with the
// world's own seed through Example, so that rapid's flags have no effect.
var (
	drawAction = rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:     rapid.SampledFrom(weightedKinds()).Draw(t, "kind"),
			selector: rapid.IntRange(0, 1<<16).Draw(t, "which"),
			wait:     time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
		}
	})
	drawActions = rapid.SliceOfN(drawAction, 4, maxActions)
)

// worldSeed returns the seed of world i of the run with the given seed.
func worldSeed(seed uint64, i int) uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, seed))
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(i)))

	return h.Sum64()
}

// runActions runs one world: it executes the actions, heals all faults and checks the
// flows at the end. Faults and late copies come at random times and may overlap or come
// twice.
func runActions(list []action, seed uint64, b protection) *site {
	s := newSite(seed, b)
	s.verbose = *worldFlag != 0
	s.openFlows(12)
	s.Run(warmUpTime)
	for _, a := range list {
		s.Run(a.wait)
		s.inputs++
		s.record('a', uint64(a.kind), uint64(a.selector))
		actionKinds[a.kind].run(s, a.selector)
	}
	s.heal()
	for s.anyPaused() {
		s.Run(time.Second)
	}
	s.Run(10 * time.Second)
	s.checkFlowsAnswer()

	return s
}

func (s *site) anyPaused() bool {
	return slices.ContainsFunc(s.controls(), func(c *control) bool {
		return c.alive && c.paused
	})
}

// worldResult is the outcome of one world.
type worldResult struct {
	seed     uint64
	inputs   uint64
	trace    uint64
	failures map[string]int
	first    string
}

func runWorld(seed uint64, b protection) worldResult {
	s := runActions(drawActions.Example(int(seed)), seed, b)

	return worldResult{
		seed:     seed,
		inputs:   s.inputs,
		trace:    s.trace.Sum64(),
		failures: s.oracle.failures,
		first:    s.oracle.first,
	}
}

// runWorlds runs the worlds first to first+count-1 of a run in parallel.
func runWorlds(seed uint64, first, count int, b protection) []worldResult {
	list := make([]worldResult, count)
	next := make(chan int)
	g := sync.WaitGroup{}
	for range min(8, runtime.GOMAXPROCS(0)) {
		g.Go(func() {
			for i := range next {
				list[i] = runWorld(worldSeed(seed, first+i), b)
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	g.Wait()

	return list
}

// fuzz runs worlds until their decision cores have handled at least the given number of
// inputs. Worlds count in the order of their numbers, so the result does not depend on
// which one ended first.
func fuzz(seed, inputs uint64) (list []worldResult) {
	const (
		maxBatch       = 64
		inputsPerWorld = 30_000
	)
	for n := uint64(0); n < inputs; {
		batch := int(min(maxBatch, (inputs-n)/inputsPerWorld+1))
		for _, v := range runWorlds(seed, len(list), batch, breakNothing) {
			if n >= inputs {
				break
			}
			n += v.inputs
			list = append(list, v)
		}
	}

	return list
}

// TestWorld prints what happens in the world that the flag -world names.
func TestWorld(t *testing.T) {
	if *worldFlag == 0 {
		t.Skip("no -world")
	}
	list := drawActions.Example(int(*worldFlag))
	fmt.Println(describeActions(list))
	s := runActions(list, *worldFlag, breakNothing)
	t.Logf("%s: %s", formatCounts(s.oracle.failures), s.oracle.first)
}

// TestFuzz checks all invariants under faults, tickets and callers in random order.
// A failing world is named by its own seed, which TestWorld takes as -world.
func TestFuzz(t *testing.T) {
	h := fnv.New64a()
	n, failed := uint64(0), 0
	for _, v := range fuzz(*seedFlag, *stepsFlag) {
		n += v.inputs
		h.Write(binary.BigEndian.AppendUint64(nil, v.trace))
		if len(v.failures) > 0 {
			failed++
			t.Errorf("world %d: %s: %s\nshortest: %s", v.seed, formatCounts(v.failures), v.first, shrink(v))
		}
	}
	lastLine = fmt.Sprintf("Seed=%d Steps=%d Trace=%016x Failed=%d", *seedFlag, n, h.Sum64(), failed)
}

// shrink removes actions from a failing world as long as one of the same invariants
// is violated, and describes the rest.
func shrink(v worldResult) string {
	list := drawActions.Example(int(v.seed))
	fails := func(l []action) bool {
		failures := runActions(l, v.seed, breakNothing).oracle.failures
		for k := range failures {
			if v.failures[k] > 0 {
				return true
			}
		}

		return false
	}
	for i := len(list) - 1; i >= 0; i-- {
		less := slices.Delete(slices.Clone(list), i, i+1)
		if i+1 < len(list) {
			less[i].wait += list[i].wait
		}
		if fails(less) {
			list = less
		}
	}

	return describeActions(list)
}

func describeActions(list []action) string {
	s := []string{}
	f := faults()
	for _, a := range list {
		name := actionKinds[a.kind].name
		if name == "fault" {
			name = f[a.selector%len(f)].name
		}
		s = append(s, fmt.Sprintf("{%v %s %d}", a.wait, name, a.selector))
	}

	return strings.Join(s, " ")
}
