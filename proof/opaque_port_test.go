package proof_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/steer"
)

// opaqueConnectTimeout bounds an entry's connection attempt, as in ibisfold-entry.
const opaqueConnectTimeout = 100 * time.Millisecond

// checkPort connects to an agent's port and, if nothing answers there, to the other agent's.
func (w *opaqueWorld) checkPort(e *opaqueEntry, c steer.CheckPort) {
	core := e.core
	report := func(state, other steer.PortState) {
		if e.core == core && !e.down {
			w.entryUpdate(e, steer.PortChecked{
				Agent:      c.Agent,
				State:      state,
				OtherState: other,
			})
		}
	}
	w.connect(e, c.Agent, func(state steer.PortState) {
		if state != steer.PortSilent || c.Other == c.Agent {
			report(state, steer.PortUnknown)

			return
		}
		w.connect(e, c.Other, func(other steer.PortState) {
			report(state, other)
		})
	})
}

// connect passes on what a connection attempt meets.
func (w *opaqueWorld) connect(e *opaqueEntry, to netip.AddrPort, done func(steer.PortState)) {
	answered := false
	answer := func(s steer.PortState) {
		if !answered {
			answered = true
			done(s)
		}
	}
	for _, a := range w.agents {
		if a.addr != to {
			continue
		}
		w.carry(w.delay(e.zone, a.zone), func() {
			s := w.port(a)
			if s == steer.PortSilent {
				return
			}
			w.carry(w.delay(e.zone, a.zone), func() { answer(s) })
		})
	}
	w.After(opaqueConnectTimeout, func() { answer(steer.PortSilent) })
}

// port returns how the VM's kernel answers a connection to an agent's port.
func (w *opaqueWorld) port(a *opaqueAgent) steer.PortState {
	answers := w.disabled != opaqueAnnouncement && w.disabled != opaqueKernelAnswers
	switch {
	case !answers && (a.down || a.pause.paused):
		return steer.PortSilent
	case a.cutOff, a.down && (a.target.silent || a.target.gone), a.pause.paused && a.pause.withTarget:
		return steer.PortSilent
	case a.down:
		return steer.PortRefused
	}

	return steer.PortAccepted
}

// TestOpaqueSlowAgents guards against flows that end because their agents get no processor
// time for longer than silence is noticed, while their targets hold the flows. It has to fail
// where no kernel answers for them.
func TestOpaqueSlowAgents(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []opaqueProtection{opaqueAllProtections, opaqueKernelAnswers} {
		w := opaqueSite(t, 39, 2)
		w.disabled = disabled
		callers := w.addPersistentCallers(60, 20*time.Millisecond)
		w.Run(2 * time.Second)
		opaqueTotals(callers)
		for i, a := range w.agents {
			w.pauseAgent(a, time.Duration(300+100*i)*time.Millisecond, i%2 == 0, false)
			w.Run(time.Second)
		}
		_, answers, resets, timeouts := opaqueTotals(callers)
		if disabled == opaqueKernelAnswers {
			is.True(len(w.violations) > 0)
			continue
		}
		w.check()
		is.Equal(resets, 0)
		is.Equal(timeouts, 0)
		is.True(answers > 1000)
	}
}

// TestOpaqueAgentKilled guards against flows that end because their agent was killed: its
// target holds them, and the next process of the agent passes their packets on.
func TestOpaqueAgentKilled(t *testing.T) {
	is := is.New(t)
	w := opaqueSite(t, 40, 2)
	callers := w.addPersistentCallers(60, 20*time.Millisecond)
	w.Run(2 * time.Second)
	opaqueTotals(callers)
	a := w.agents[0]
	a.down = true
	w.After(opaqueDowntime, func() { w.startAgent(a, false) })
	w.Run(2 * time.Second)
	w.check()
	_, _, resets, timeouts := opaqueTotals(callers)
	is.Equal(resets, 0)
	is.Equal(timeouts, 0)
}
