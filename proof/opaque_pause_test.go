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
	opaqueFrozen opaqueKind = "frozen"
	// opaqueFrozenSeeds is the number of such worlds that CI runs.
	opaqueFrozenSeeds = 25
	// opaqueLongestStand is the longest time that a process stands still.
	opaqueLongestStand = 3 * time.Second
	// opaquePeriod is the time in which a process gets its share of a core, and
	// opaqueDenied the part of it in which it does not run.
	opaquePeriod = 100 * time.Millisecond
	opaqueDenied = 80 * time.Millisecond
	// opaqueLag is how long messages of agents wait in an entry's socket that is behind,
	// opaqueTargetLag the same for packets of a target.
	opaqueLag       = 300 * time.Millisecond
	opaqueTargetLag = 500 * time.Millisecond
	// opaqueWake is the time from the end of a VM's pause to its target's first answer.
	opaqueWake = 5 * time.Millisecond
)

// opaqueStand is a process that stands still, so that neither ticks nor messages are
// handled, or that is behind.
type opaqueStand struct {
	still bool
	// vm means that the target beside an agent stands still too.
	vm bool
	// waiting holds what arrived meanwhile, in order, and target what the target would
	// have sent.
	waiting []func()
	target  []func()
	// lag is how long what other processes or the target send waits in a socket while
	// ticks come on time, due when the last of it is handled, and late the one that is.
	lag  time.Duration
	due  time.Duration
	late any
}

// keep puts a message off if the process stands still, or its socket is behind. Ticks
// are lost where it stands still.
func (w *opaqueWorld) keep(s *opaqueStand, m any, run func()) bool {
	switch m.(type) {
	case steer.Tick, conntrack.Tick:
		return s.still
	case *steer.AgentMessage, *conntrack.TargetPacket:
		if !s.still {
			return w.keepLate(s, m, run)
		}
	}
	if s.still {
		s.waiting = append(s.waiting, run)
	}

	return s.still
}

// behind reports whether messages wait in the process's socket.
func (s *opaqueStand) behind(now time.Duration) bool {
	return s.lag > 0 || now < s.due
}

// keepLate puts a message off that waits in a socket, and keeps the order.
func (w *opaqueWorld) keepLate(s *opaqueStand, m any, run func()) bool {
	if m == s.late || !s.behind(w.Now) {
		return false
	}
	s.due = max(s.due, w.Now+s.lag)
	w.After(s.due-w.Now, func() {
		s.late = m
		run()
		s.late = nil
	})

	return true
}

// lagBehind lets a process's socket be behind for d.
func (w *opaqueWorld) lagBehind(s *opaqueStand, lag, d time.Duration) {
	s.lag = lag
	w.After(d, func() {
		s.lag = 0
	})
}

// keepTarget puts a packet of the target off if its VM stands still.
func (s *opaqueStand) keepTarget(run func()) bool {
	if s.still && s.vm {
		s.target = append(s.target, run)
	}

	return s.still && s.vm
}

// stand lets a process stand still for d. Then it handles a tick, and before or after
// it what has arrived.
func (w *opaqueWorld) stand(s *opaqueStand, d time.Duration, tickFirst bool, tick func()) {
	s.still = true
	w.After(d, func() {
		waiting, target := s.waiting, s.target
		s.still, s.vm = false, false
		s.waiting, s.target = nil, nil
		if tickFirst {
			tick()
		}
		for _, run := range waiting {
			run()
		}
		tick()
		w.After(opaqueWake, func() {
			for _, run := range target {
				run()
			}
		})
	})
}

func (w *opaqueWorld) standEntry(e *opaqueEntry, d time.Duration, tickFirst bool) {
	w.stand(&e.stand, d, tickFirst, func() { w.tickEntry(e) })
}

// standAgent lets an agent stand still, with its target if vm is set.
func (w *opaqueWorld) standAgent(a *opaqueAgent, d time.Duration, tickFirst, vm bool) {
	w.stand(&a.stand, d, tickFirst, func() { w.tickAgent(a) })
	a.stand.vm = vm
}

// share denies a process its core for a part of each period.
func (w *opaqueWorld) share(periods int, stand func(d time.Duration)) {
	for i := range periods {
		w.After(time.Duration(i)*opaquePeriod, func() { stand(opaqueDenied) })
	}
}

// awakeEntry returns an entry that runs; nil if the one that was drawn does not.
func (w *opaqueWorld) awakeEntry() *opaqueEntry {
	if e := w.anyEntry(); !e.down && !e.stand.still {
		return e
	}

	return nil
}

func (w *opaqueWorld) awakeAgent() *opaqueAgent {
	if a := w.anyAgent(); !a.down && !a.stand.still {
		return a
	}

	return nil
}

func (w *opaqueWorld) someStand() time.Duration {
	return time.Duration(w.random.Int64N(int64(opaqueLongestStand)))
}

// opaqueTolerated is how long an agent may stand still before entries may end its
// flows: SilentTime, less a tick.
const opaqueTolerated = 150 * time.Millisecond

// standSome lets an agent stand still for some time.
func (w *opaqueWorld) standSome(vm bool) {
	a := w.awakeAgent()
	if a == nil {
		return
	}
	d := w.someStand()
	if d > opaqueTolerated {
		a.impair(w.Now + d)
	}
	w.standAgent(a, d, w.random.IntN(2) == 0, vm)
}

var opaqueFrozenFaults = []opaqueFault{
	{"entry stands still", func(w *opaqueWorld) {
		if e := w.awakeEntry(); e != nil {
			w.standEntry(e, w.someStand(), w.random.IntN(2) == 0)
		}
	}},
	{"agent stands still", func(w *opaqueWorld) { w.standSome(false) }},
	{"VM stands still", func(w *opaqueWorld) { w.standSome(true) }},
	{"agent has a share of a core", func(w *opaqueWorld) {
		a := w.awakeAgent()
		if a == nil {
			return
		}
		core, first := a.core, w.random.IntN(2) == 0
		w.share(10, func(d time.Duration) {
			if !a.stand.still && !a.down && a.core == core {
				w.standAgent(a, d, first, false)
			}
		})
	}},
	{"entry has a share of a core", func(w *opaqueWorld) {
		e := w.awakeEntry()
		if e == nil {
			return
		}
		core, first := e.core, w.random.IntN(2) == 0
		w.share(10, func(d time.Duration) {
			if !e.stand.still && !e.down && e.core == core {
				w.standEntry(e, d, first)
			}
		})
	}},
	{"entry replaced", func(w *opaqueWorld) {
		if e := w.awakeEntry(); e != nil {
			w.startEntry(e)
		}
	}},
	{"agent stopped", func(w *opaqueWorld) {
		if a := w.awakeAgent(); a != nil {
			w.stopAgent(a, opaqueRestart)
		}
	}},
	{"entry's relay socket is behind", func(w *opaqueWorld) {
		if e := w.awakeEntry(); e != nil {
			w.lagBehind(&e.stand, opaqueLag, w.someStand())
		}
	}},
	{"agent's outbound socket is behind", func(w *opaqueWorld) {
		if a := w.awakeAgent(); a != nil {
			w.lagBehind(&a.stand, opaqueTargetLag, w.someStand())
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
func (w *opaqueWorld) judgeDown() {
	for _, n := range w.notes {
		if strings.Contains(n, " target down ") {
			w.breaks("though the target reacts: %s", n)
		}
	}
}

// opaqueFrozenWorld runs a random world of processes that stand still.
func opaqueFrozenWorld(t *testing.T, seed uint64) *opaqueWorld {
	w := opaqueSite(t, seed, 3)
	w.once = true
	callers := w.addCallers(45, 30*time.Millisecond)
	callers = append(callers, w.addCallers(15, 3*time.Second)...)
	w.Run(time.Second)
	for w.Now < opaqueFuzzTime {
		f := opaqueFrozenFaults[w.random.IntN(len(opaqueFrozenFaults))]
		w.story = append(w.story, fmt.Sprint(w.Now, " ", f.name))
		f.run(w)
		w.Run(time.Duration(w.random.Int64N(int64(600 * time.Millisecond))))
	}
	for _, a := range w.agents {
		a.target.draining = false
	}
	w.publish()
	w.judgeCalm(callers)
	w.judgeDown()

	return w
}

// Guards against processes that take their own pause for the silence of others: agents,
// VMs and entries stand still for up to 3 s, or get their core for 20 of each 100 ms.
// More seeds: IBISFOLD_SEEDS=500.
func TestOpaqueFrozen(t *testing.T) {
	for seed := range seedsOr(opaqueFrozenSeeds) {
		if w := opaqueFrozenWorld(t, 9000+seed); len(w.broken) > 0 {
			t.Errorf("seed %d, %s: %d broken, first: %s", 9000+seed, opaqueFrozen, len(w.broken), w.broken[0])
		}
	}
}

// Guards against the same for all agents at once, and for all entries at once, with the
// first tick before and after what waits.
func TestOpaqueAllStandStill(t *testing.T) {
	for _, tickFirst := range []bool{true, false} {
		for _, d := range []time.Duration{opaqueDenied, time.Second, opaqueLongestStand} {
			w := opaqueSite(t, 30, 3)
			for _, a := range w.agents {
				// Many requests are in progress at any time.
				a.target.slots = 20
				a.target.work = 60 * time.Millisecond
			}
			w.addCallers(180, 20*time.Millisecond)
			w.Run(2 * time.Second)
			for _, a := range w.agents {
				if d > opaqueTolerated {
					a.impair(w.Now + opaquePeriod + d)
				}
				// Each at another moment, so that some have just passed requests on.
				w.After(time.Duration(w.random.Int64N(int64(opaquePeriod))), func() {
					w.standAgent(a, d, tickFirst, false)
				})
			}
			w.Run(d + time.Second)
			w.judgeDown()
			w.check()

			w, _ = opaqueServing(t, 31, 3, 60, 20*time.Millisecond)
			for _, e := range slices.Clone(w.entries) {
				w.standEntry(e, d, tickFirst)
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
		w.lagBehind(&e.stand, opaqueLag, 2*time.Second)
	}
	w.Run(3 * time.Second)
	w.check()
	for _, a := range w.agents {
		w.lagBehind(&a.stand, opaqueTargetLag, 2*time.Second)
	}
	w.Run(3 * time.Second)
	w.judgeDown()
	w.judgeCalm(callers)
	w.check()
}
