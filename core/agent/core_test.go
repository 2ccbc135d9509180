package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
)

// lossy makes the network as bad as the design's worst case.
func (w *world) lossy(loss float64) {
	w.loss = loss
	w.repeat = 0.2
	w.delay = 100 * time.Millisecond
}

// load starts callers spread over the agents.
func (w *world) load(callers, requests, parallel int) {
	for i := range callers {
		w.caller(w.agents[i%len(w.agents)], requests, parallel)
	}
}

// Guards against lost, doubled and crossed answers when the network loses,
// repeats and reorders packets between callers and agents and between agents.
func TestAnswersUnderLoss(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		for seed := range uint64(5) {
			is := is.New(t)
			w := newWorld(t, seed, 3)
			w.Run(2 * time.Second)
			w.lossy(loss)
			w.load(30, 20, 2)
			w.Run(2 * time.Minute)
			w.check(t)
			is.Equal(w.resets(), 0)
			is.True(w.total(packet.StatusOK) >= 594)
			is.Equal(w.total(packet.StatusOK)+w.total(packet.StatusNotRun)+w.total(packet.StatusOutcomeUnknown), 600)
		}
	}
}

// Guards against choices that depend on the order of a map: the same seed must
// give the same run.
func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	run := func() []Counters {
		w := newWorld(t, 7, 3)
		w.lossy(0.2)
		w.load(30, 20, 2)
		w.Run(3 * time.Second)
		w.ticket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
		w.restartTarget(w.agents[1])
		w.Run(time.Minute)
		counters := []Counters{}
		for _, a := range w.agents {
			counters = append(counters, a.core.Counters)
		}

		return counters
	}
	is.Equal(run(), run())
}

// Guards against requests that are reported as not run, or run again, after the
// target lost them, and against more load than a cold target takes.
func TestTargetRestart(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(30, 40, 2)
		for range 5 {
			w.Run(time.Second)
			w.restartTarget(w.agents[1])
			w.Run(100 * time.Millisecond)
			is.True(w.agents[1].target.most <= 1)
		}
		w.agents[2].target.down = true
		clear(w.agents[2].target.running)
		w.Run(5 * time.Second)
		w.agents[2].target.down = false
		w.agents[2].target.boot++
		w.Run(time.Minute)
		w.check(t)
		is.Equal(w.resets(), 0)
		is.True(w.total(packet.StatusOutcomeUnknown) > 0)
		is.True(w.total(packet.StatusOK) > 1000)
	}
}

// Guards against a second run of idempotent requests being refused as not run,
// and against answers mixed from two runs.
func TestIdempotentAfterRestarts(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(30, 40, 2)
		for _, f := range w.callers {
			f.idempotent = true
		}
		for i := range 10 {
			w.Run(500 * time.Millisecond)
			w.restartTarget(w.agents[i%3])
		}
		w.Run(time.Minute)
		w.check(t)
		is.True(w.total(packet.StatusOK) > 1100)
	}
}

// Guards against an agent that starts beside a living target and overloads it,
// and against flows of the earlier start that are served or refused as not run.
func TestAgentRestart(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		a := w.agents[0]
		a.target.work = 2 * time.Second
		w.load(12, 10, 2)
		w.Run(3 * time.Second)
		a.target.most = 0
		a.target.got = 0
		old := a.incarnation
		w.start(a)
		w.Run(50 * time.Millisecond)
		is.True(a.core.Load().Running <= a.target.slots)
		is.Equal(a.core.Load().Running, len(a.target.running))
		w.Run(time.Minute)
		w.check(t)
		is.True(w.resets() > 0)
		is.Equal(a.core.Counters.Shed, uint64(0))
		for _, f := range w.callers {
			is.True(f.reset == (f.token.Incarnation == old && f.token.Agent == a.addr))
		}
	}
}

// Guards against a second run when the peer that got an offer restarts before,
// while or after it runs the request.
func TestPeerRestartDuringOffers(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.agents[0].target.work = 500 * time.Millisecond
		for range 15 {
			w.caller(w.agents[0], 20, 2)
		}
		for range 10 {
			w.Run(300 * time.Millisecond)
			w.start(w.agents[1])
		}
		w.Run(2 * time.Minute)
		w.check(t)
		is.True(w.agents[0].core.Counters.OffersSent > 0)
		is.True(w.total(packet.StatusOK) > 0)
	}
}

// Guards against an owner that forgets what it offered and an outcome that is
// given as not run while the cut-off peer runs the request.
func TestPeerCutOff(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		for range 20 {
			w.caller(w.agents[0], 30, 2)
		}
		w.Run(time.Second)
		far := w.agents[1].addr
		w.cut = func(from, _ netip.AddrPort) bool {
			return from == far
		}
		w.Run(10 * time.Second)
		is.True(len(w.agents[0].suspects) > 0)
		w.cut = nil
		w.Run(2 * time.Minute)
		w.check(t)
		is.Equal(w.total(packet.StatusOK)+w.total(packet.StatusNotRun)+w.total(packet.StatusOutcomeUnknown), 600-w.left())
	}
}
