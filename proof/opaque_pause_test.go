package proof_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ibisfold.example/core/conntrack"
	"ibisfold.example/core/steer"
)

const (
	// opaquePaused: processes and VMs are paused, or get a core for only a part of each
	// period.
	opaquePaused opaqueKind = "frozen"
	// opaquePauseSeeds is the number of such worlds that CI runs.
	opaquePauseSeeds = 25
	// opaqueMaxPause bounds the duration of a pause.
	opaqueMaxPause = 3 * time.Second
	// opaqueCPUPeriod is the period in which a process gets its share of a core, and
	// opaqueCPUDenied the part of it in which the process does not run.
	opaqueCPUPeriod = 100 * time.Millisecond
	opaqueCPUDenied = 80 * time.Millisecond
	// opaqueEntryLag is how long messages from agents wait in the socket of an entry that
	// is behind, opaqueTargetLag how long packets from a target wait in that of its agent.
	opaqueEntryLag  = 300 * time.Millisecond
	opaqueTargetLag = 500 * time.Millisecond
	// opaqueWakeDelay is the time from the end of a VM's pause to its target's first
	// answer.
	opaqueWakeDelay = 5 * time.Millisecond
)

// opaquePauseState is the part of a process's state that makes it paused, so that it
// handles neither ticks nor messages, or behind with its socket.
type opaquePauseState struct {
	paused bool
	// withTarget means that the target beside a paused agent is paused too.
	withTarget bool
	// deferred holds the messages that arrived during the pause, in order, and
	// deferredByTarget those that the target would have sent.
	deferred         []func()
	deferredByTarget []func()
	// lag is how long messages from other processes or the target wait in the socket
	// while ticks come on time. due is when the last of them is handled, and current is
	// the one that is being handled.
	lag     time.Duration
	due     time.Duration
	current any
}

// deferMessage defers a message if the process is paused or its socket is behind, and
// reports whether it did. Ticks during a pause are lost.
func (w *opaqueWorld) deferMessage(s *opaquePauseState, m any, run func()) bool {
	switch m.(type) {
	case steer.Tick, conntrack.Tick:
		return s.paused
	case *steer.AgentMessage, *conntrack.TargetPacket:
		if !s.paused {
			return w.deferLagging(s, m, run)
		}
	}
	if s.paused {
		s.deferred = append(s.deferred, run)
	}

	return s.paused
}

// behind reports whether messages wait in the process's socket.
func (s *opaquePauseState) behind(now time.Duration) bool {
	return s.lag > 0 || now < s.due
}

// deferLagging defers a message if the socket is behind, and preserves the order of
// messages.
func (w *opaqueWorld) deferLagging(s *opaquePauseState, m any, run func()) bool {
	if m == s.current || !s.behind(w.Now) {
		return false
	}
	s.due = max(s.due, w.Now+s.lag)
	w.After(s.due-w.Now, func() {
		s.current = m
		run()
		s.current = nil
	})

	return true
}

// lagBehind delays the messages in a process's socket by lag, for a time of d.
func (w *opaqueWorld) lagBehind(s *opaquePauseState, lag, d time.Duration) {
	s.lag = lag
	w.After(d, func() {
		s.lag = 0
	})
}

// deferTargetPacket defers a packet of the target if its VM is paused, and reports
// whether it did.
func (s *opaquePauseState) deferTargetPacket(run func()) bool {
	if s.paused && s.withTarget {
		s.deferredByTarget = append(s.deferredByTarget, run)
	}

	return s.paused && s.withTarget
}

// pause pauses a process for d. After that the process handles what has arrived and then
// a tick, and another tick before that if tickFirst is set.
func (w *opaqueWorld) pause(s *opaquePauseState, d time.Duration, tickFirst bool, tick func()) {
	s.paused = true
	w.After(d, func() {
		deferred, deferredByTarget := s.deferred, s.deferredByTarget
		s.paused, s.withTarget = false, false
		s.deferred, s.deferredByTarget = nil, nil
		if tickFirst {
			tick()
		}
		for _, run := range deferred {
			run()
		}
		tick()
		w.After(opaqueWakeDelay, func() {
			for _, run := range deferredByTarget {
				run()
			}
		})
	})
}

func (w *opaqueWorld) pauseEntry(e *opaqueEntry, d time.Duration, tickFirst bool) {
	w.pause(&e.pause, d, tickFirst, func() { w.tickEntry(e) })
}

// pauseAgent pauses an agent for d, with its target if withTarget is set.
func (w *opaqueWorld) pauseAgent(a *opaqueAgent, d time.Duration, tickFirst, withTarget bool) {
	w.pause(&a.pause, d, tickFirst, func() { w.tickAgent(a) })
	a.pause.withTarget = withTarget
}

// limitCPU calls pause at the start of each period, to deny a process its core for
// opaqueCPUDenied.
func (w *opaqueWorld) limitCPU(periods int, pause func(d time.Duration)) {
	for i := range periods {
		w.After(time.Duration(i)*opaqueCPUPeriod, func() { pause(opaqueCPUDenied) })
	}
}

// runningEntry returns a random entry, or nil if that one does not run.
func (w *opaqueWorld) runningEntry() *opaqueEntry {
	if e := w.anyEntry(); !e.down && !e.pause.paused {
		return e
	}

	return nil
}

// runningAgent returns a random agent, or nil if that one does not run.
func (w *opaqueWorld) runningAgent() *opaqueAgent {
	if a := w.anyAgent(); !a.down && !a.pause.paused {
		return a
	}

	return nil
}

func (w *opaqueWorld) somePause() time.Duration {
	return time.Duration(w.random.Int64N(int64(opaqueMaxPause)))
}

// opaqueMaxToleratedPause is how long a VM may be paused without an entry ending its flows:
// SilentTime of steer.Policy, less a tick. The agent alone may be paused for any time.
const opaqueMaxToleratedPause = 150 * time.Millisecond

// pauseSomeAgent pauses a random agent for a random time, with its target if withTarget is
// set.
func (w *opaqueWorld) pauseSomeAgent(withTarget bool) {
	a := w.runningAgent()
	if a == nil {
		return
	}
	d := w.somePause()
	if withTarget && d > opaqueMaxToleratedPause {
		a.impair(w.Now + d)
	}
	w.pauseAgent(a, d, w.random.IntN(2) == 0, withTarget)
}

var opaquePauseFaults = []opaqueFault{
	{"entry paused", func(w *opaqueWorld) {
		if e := w.runningEntry(); e != nil {
			w.pauseEntry(e, w.somePause(), w.random.IntN(2) == 0)
		}
	}},
	{"agent paused", func(w *opaqueWorld) { w.pauseSomeAgent(false) }},
	{"VM paused", func(w *opaqueWorld) { w.pauseSomeAgent(true) }},
	{"agent has a share of a core", func(w *opaqueWorld) {
		a := w.runningAgent()
		if a == nil {
			return
		}
		core, tickFirst := a.core, w.random.IntN(2) == 0
		w.limitCPU(10, func(d time.Duration) {
			if !a.pause.paused && !a.down && a.core == core {
				w.pauseAgent(a, d, tickFirst, false)
			}
		})
	}},
	{"entry has a share of a core", func(w *opaqueWorld) {
		e := w.runningEntry()
		if e == nil {
			return
		}
		core, tickFirst := e.core, w.random.IntN(2) == 0
		w.limitCPU(10, func(d time.Duration) {
			if !e.pause.paused && !e.down && e.core == core {
				w.pauseEntry(e, d, tickFirst)
			}
		})
	}},
	{"entry replaced", func(w *opaqueWorld) {
		if e := w.runningEntry(); e != nil {
			w.startEntry(e)
		}
	}},
	{"agent stopped", func(w *opaqueWorld) {
		if a := w.runningAgent(); a != nil {
			w.stopAgent(a, opaqueDowntime)
		}
	}},
	{"entry's relay socket is behind", func(w *opaqueWorld) {
		if e := w.runningEntry(); e != nil {
			w.lagBehind(&e.pause, opaqueEntryLag, w.somePause())
		}
	}},
	{"agent's outbound socket is behind", func(w *opaqueWorld) {
		if a := w.runningAgent(); a != nil {
			w.lagBehind(&a.pause, opaqueTargetLag, w.somePause())
		}
	}},
	{"target drains", func(w *opaqueWorld) {
		a := w.anyAgent()
		a.target.draining = !a.target.draining
		w.publish()
	}},
}

// checkTargetsUp checks that no agent took its target for down, in worlds whose targets
// all react. Such an agent resets flows that their target holds, even where other checks
// excuse a reset because the VM was impaired.
func (w *opaqueWorld) checkTargetsUp() {
	for _, n := range w.log {
		if strings.Contains(n, " target down ") {
			w.violate("target taken for down though it reacts: %s", n)
		}
	}
}

// opaquePausedWorld runs a random world of the kind opaquePaused.
func opaquePausedWorld(t *testing.T, seed uint64) *opaqueWorld {
	w := opaqueSite(t, seed, 3)
	w.dedupe = true
	callers := w.addCallers(45, 30*time.Millisecond)
	callers = append(callers, w.addCallers(15, 3*time.Second)...)
	w.Run(time.Second)
	for w.Now < opaqueFuzzTime {
		f := opaquePauseFaults[w.random.IntN(len(opaquePauseFaults))]
		w.faultLog = append(w.faultLog, fmt.Sprint(w.Now, " ", f.name))
		f.run(w)
		w.Run(time.Duration(w.random.Int64N(int64(600 * time.Millisecond))))
	}
	for _, a := range w.agents {
		a.target.draining = false
	}
	w.publish()
	w.checkRecovery(callers)
	w.checkTargetsUp()

	return w
}

// TestOpaqueFrozen guards against processes that mistake their own pause for the silence
// of others: agents, VMs and entries are paused for up to 3 s, or get a core for 20 of
// each 100 ms. More seeds: IBISFOLD_SEEDS=500.
func TestOpaqueFrozen(t *testing.T) {
	for seed := range seedsOr(opaquePauseSeeds) {
		if w := opaquePausedWorld(t, 9000+seed); len(w.violations) > 0 {
			t.Errorf("seed %d, %s: %d violations, first: %s", 9000+seed, opaquePaused, len(w.violations), w.violations[0])
		}
	}
}

// TestOpaqueAllPaused guards against the same mistake while all agents, or all entries, are
// paused at about the same time, with the first tick before or after the messages that wait.
func TestOpaqueAllPaused(t *testing.T) {
	for _, tickFirst := range []bool{true, false} {
		for _, d := range []time.Duration{opaqueCPUDenied, time.Second, opaqueMaxPause} {
			w := opaqueSite(t, 30, 3)
			for _, a := range w.agents {
				// Many requests are in progress at any time.
				a.target.slots = 20
				a.target.workTime = 60 * time.Millisecond
			}
			w.addCallers(180, 20*time.Millisecond)
			w.Run(2 * time.Second)
			for _, a := range w.agents {
				// Each at a different moment, so that some have just passed requests on.
				w.After(time.Duration(w.random.Int64N(int64(opaqueCPUPeriod))), func() {
					w.pauseAgent(a, d, tickFirst, false)
				})
			}
			w.Run(d + time.Second)
			w.checkTargetsUp()
			w.check()

			w, _ = opaqueServing(t, 31, 3, 60, 20*time.Millisecond)
			for _, e := range slices.Clone(w.entries) {
				w.pauseEntry(e, d, tickFirst)
			}
			w.Run(d + time.Second)
			w.check()
		}
	}
}

// TestOpaqueSocketBehind guards against an entry that takes all agents for silent because
// its socket is behind, although its ticks come on time, and against agents that do so
// with their targets.
func TestOpaqueSocketBehind(t *testing.T) {
	w, callers := opaqueServing(t, 32, 3, 90, 20*time.Millisecond)
	for _, e := range w.entries {
		w.lagBehind(&e.pause, opaqueEntryLag, 2*time.Second)
	}
	w.Run(3 * time.Second)
	w.check()
	for _, a := range w.agents {
		w.lagBehind(&a.pause, opaqueTargetLag, 2*time.Second)
	}
	w.Run(3 * time.Second)
	w.checkTargetsUp()
	w.checkRecovery(callers)
	w.check()
}
