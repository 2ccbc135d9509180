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
	// opaqueFrozen: processes and VMs stand still, or get their core for a part of each
	// period only.
	opaquePaused opaqueKind = "frozen"
	// opaqueFrozenSeeds is the number of such worlds that CI runs.
	opaquePauseSeeds = 25
	// opaqueLongestStand is the longest time that a process stands still.
	opaqueMaxPause = 3 * time.Second
	// opaquePeriod is the time in which a process gets its share of a core, and
	// opaqueDenied the part of it in which it does not run.
	opaqueCPUPeriod = 100 * time.Millisecond
	opaqueCPUDenied = 80 * time.Millisecond
	// opaqueLag is how long messages of agents wait in an entry's socket that is behind,
	// opaqueTargetLag the same for packets of a target.
	opaqueEntryLag  = 300 * time.Millisecond
	opaqueTargetLag = 500 * time.Millisecond
	// opaqueWake is the time from the end of a VM's pause to its target's first answer.
	opaqueWakeDelay = 5 * time.Millisecond
)

// opaqueStand is a process that stands still, so that neither ticks nor messages are
// handled, or that is behind.
type opaquePauseState struct {
	paused bool
	// vm means that the target beside an agent stands still too.
	withTarget bool
	// waiting holds what arrived meanwhile, in order, and target what the target would
	// have sent.
	deferred         []func()
	deferredByTarget []func()
	// lag is how long what other processes or the target send waits in a socket while
	// ticks come on time, due when the last of it is handled, and late the one that is.
	lag     time.Duration
	due     time.Duration
	current any
}

// keep puts a message off if the process stands still, or its socket is behind. Ticks
// are lost where it stands still.
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

// keepLate puts a message off that waits in a socket, and keeps the order.
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

// lagBehind lets a process's socket be behind for d.
func (w *opaqueWorld) lagBehind(s *opaquePauseState, lag, d time.Duration) {
	s.lag = lag
	w.After(d, func() {
		s.lag = 0
	})
}

// keepTarget puts a packet of the target off if its VM stands still.
func (s *opaquePauseState) deferTargetPacket(run func()) bool {
	if s.paused && s.withTarget {
		s.deferredByTarget = append(s.deferredByTarget, run)
	}

	return s.paused && s.withTarget
}

// stand lets a process stand still for d. Then it handles a tick, and before or after
// it what has arrived.
func (w *opaqueWorld) pause(s *opaquePauseState, d time.Duration, tickFirst bool, tick func()) {
	s.paused = true
	w.After(d, func() {
		waiting, target := s.deferred, s.deferredByTarget
		s.paused, s.withTarget = false, false
		s.deferred, s.deferredByTarget = nil, nil
		if tickFirst {
			tick()
		}
		for _, run := range waiting {
			run()
		}
		tick()
		w.After(opaqueWakeDelay, func() {
			for _, run := range target {
				run()
			}
		})
	})
}

func (w *opaqueWorld) pauseEntry(e *opaqueEntry, d time.Duration, tickFirst bool) {
	w.pause(&e.pause, d, tickFirst, func() { w.tickEntry(e) })
}

// standAgent lets an agent stand still, with its target if vm is set.
func (w *opaqueWorld) pauseAgent(a *opaqueAgent, d time.Duration, tickFirst, vm bool) {
	w.pause(&a.pause, d, tickFirst, func() { w.tickAgent(a) })
	a.pause.withTarget = vm
}

// share denies a process its core for a part of each period.
func (w *opaqueWorld) limitCPU(periods int, pause func(d time.Duration)) {
	for i := range periods {
		w.After(time.Duration(i)*opaqueCPUPeriod, func() { pause(opaqueCPUDenied) })
	}
}

// awakeEntry returns an entry that runs; nil if the one that was drawn does not.
func (w *opaqueWorld) runningEntry() *opaqueEntry {
	if e := w.anyEntry(); !e.down && !e.pause.paused {
		return e
	}

	return nil
}

func (w *opaqueWorld) runningAgent() *opaqueAgent {
	if a := w.anyAgent(); !a.down && !a.pause.paused {
		return a
	}

	return nil
}

func (w *opaqueWorld) somePause() time.Duration {
	return time.Duration(w.random.Int64N(int64(opaqueMaxPause)))
}

// opaqueTolerated is how long an agent may stand still before entries may end its
// flows: SilentTime, less a tick.
const opaqueMaxToleratedPause = 150 * time.Millisecond

// standSome lets an agent stand still for some time.
func (w *opaqueWorld) pauseSomeAgent(vm bool) {
	a := w.runningAgent()
	if a == nil {
		return
	}
	d := w.somePause()
	if d > opaqueMaxToleratedPause {
		a.impair(w.Now + d)
	}
	w.pauseAgent(a, d, w.random.IntN(2) == 0, vm)
}

var opaquePauseFaults = []opaqueFault{
	{"entry stands still", func(w *opaqueWorld) {
		if e := w.runningEntry(); e != nil {
			w.pauseEntry(e, w.somePause(), w.random.IntN(2) == 0)
		}
	}},
	{"agent stands still", func(w *opaqueWorld) { w.pauseSomeAgent(false) }},
	{"VM stands still", func(w *opaqueWorld) { w.pauseSomeAgent(true) }},
	{"agent has a share of a core", func(w *opaqueWorld) {
		a := w.runningAgent()
		if a == nil {
			return
		}
		core, first := a.core, w.random.IntN(2) == 0
		w.limitCPU(10, func(d time.Duration) {
			if !a.pause.paused && !a.down && a.core == core {
				w.pauseAgent(a, d, first, false)
			}
		})
	}},
	{"entry has a share of a core", func(w *opaqueWorld) {
		e := w.runningEntry()
		if e == nil {
			return
		}
		core, first := e.core, w.random.IntN(2) == 0
		w.limitCPU(10, func(d time.Duration) {
			if !e.pause.paused && !e.down && e.core == core {
				w.pauseEntry(e, d, first)
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
			w.stopAgent(a, opaqueMinDowntime)
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

// judgeDown finds agents that took their target for down. In worlds whose targets all
// react it resets sound flows, also those that an impaired VM may lose otherwise.
func (w *opaqueWorld) checkTargetsUp() {
	for _, n := range w.log {
		if strings.Contains(n, " target down ") {
			w.violate("though the target reacts: %s", n)
		}
	}
}

// opaqueFrozenWorld runs a random world of processes that stand still.
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

// Guards against processes that take their own pause for the silence of others: agents,
// VMs and entries stand still for up to 3 s, or get their core for 20 of each 100 ms.
// More seeds: IBISFOLD_SEEDS=500.
func TestOpaqueFrozen(t *testing.T) {
	for seed := range seedsOr(opaquePauseSeeds) {
		if w := opaquePausedWorld(t, 9000+seed); len(w.violations) > 0 {
			t.Errorf("seed %d, %s: %d broken, first: %s", 9000+seed, opaquePaused, len(w.violations), w.violations[0])
		}
	}
}

// Guards against the same for all agents at once, and for all entries at once, with the
// first tick before and after what waits.
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
				if d > opaqueMaxToleratedPause {
					a.impair(w.Now + opaqueCPUPeriod + d)
				}
				// Each at another moment, so that some have just passed requests on.
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

// Guards against an entry whose socket is behind and that takes all agents for silent,
// and against agents that do so with their targets, though ticks come on time.
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
