package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
)

// Guards against work for a draining target after 3 s, and against flows or
// requests that a drain breaks under loss.
func TestDrainUnderLoss(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(loss, "/", seed), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, seed, 3)
				w.Run(2 * time.Second)
				w.lossy(loss)
				w.load(30, 100, 1)
				w.Run(3 * time.Second)
				w.ticket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
				w.Run(3300 * time.Millisecond)
				w.agents[0].target.got = 0
				w.Run(time.Minute)
				is.Equal(w.agents[0].target.got, 0)
				is.Equal(w.agents[0].core.Load().Flows, 0)
				w.Run(3 * time.Minute)
				w.check(t)
				is.Equal(w.resets(), 0)
				is.True(w.agents[0].core.Counters.FlowsHandedOver > 0)
				is.True(w.total(packet.StatusOK) >= 2970)
			})
		}
	}
}

// Guards against flows that are lost when several drains follow each other and
// a flow moves more than once, also back to where it was.
func TestRollingDrain(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(30, 1000, 1)
		n := 2
		for i := range 6 {
			w.Run(4 * time.Second)
			w.ticket(fmt.Sprintf("Ticket: %d\nTargets:\n%s%s%s", n,
				targetLine(i%3, "s", "Draining"), targetLine((i+1)%3, "s", ""), targetLine((i+2)%3, "s", "")))
			n++
		}
		w.Run(10 * time.Second)
		w.check(t)
		is.Equal(w.resets(), 0)
		is.Equal(w.total(packet.StatusOutcomeUnknown), 0)
	}
}

// Guards against a shutdown that interrupts a request or ends before every
// caller uses its new token.
func TestStop(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(30, 200, 1)
		w.Run(3 * time.Second)
		start := w.Now
		w.update(w.agents[0], Stop{})
		for !w.agents[0].stopped && w.Now < start+time.Minute {
			w.Run(100 * time.Millisecond)
		}
		is.True(w.agents[0].stopped)
		is.True(w.Now-start < DefaultStopTimeout)
		w.agents[0].down = true
		w.Run(2 * time.Minute)
		w.check(t)
		is.Equal(w.resets(), 0)
		is.Equal(w.total(packet.StatusOutcomeUnknown), 0)
	}
}

// Guards against a shutdown without a peer that never ends, or that ends a
// running request before its bound.
func TestStopAlone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	w.agents[0].target.work = 3 * time.Second
	w.Run(time.Second)
	f := w.caller(w.agents[0], 1, 1)
	w.Run(time.Second)
	w.update(w.agents[0], Stop{})
	w.Run(10 * time.Second)
	is.True(!w.agents[0].stopped)
	is.Equal(f.outcomes[1].kind, packet.Answer)
	w.Run(DefaultStopTimeout)
	is.True(w.agents[0].stopped)
	is.True(f.reset)
	w.check(t)
}

// Guards against a handover to a peer that dies before or after it has the
// flow: the flow must not be owned twice.
func TestPeerRestartDuringHandover(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		w := newWorld(t, seed, 2)
		w.Run(2 * time.Second)
		w.lossy(0.3)
		for range 20 {
			w.caller(w.agents[0], 100, 1)
		}
		w.Run(2 * time.Second)
		w.ticket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
		for range 5 {
			w.Run(200 * time.Millisecond)
			w.start(w.agents[1])
		}
		w.Run(time.Minute)
		w.check(t)
		is.True(w.agents[0].core.Counters.FlowsHandedOver > 0)
	}
}

// Guards against packets in a zone that is out of service, against flows that
// live on there, and against a false not run.
func TestZoneOut(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(30, 200, 2)
		w.Run(3 * time.Second)
		flows := w.agents[0].core.Load().Flows
		w.ticket("Ticket: 2\nZones:\n  - {Name: z0, InService: false}")
		w.Run(time.Second)
		a := w.agents[0]
		a.target.got = 0
		is.Equal(a.core.Load().Flows, 0)
		is.True(a.core.Counters.FlowsGivenUp >= uint64(flows))
		w.Run(10 * time.Second)
		is.Equal(a.target.got, 0)
		is.Equal(uint64(w.resets()), a.core.Counters.FlowsGivenUp)
		w.ticket("Ticket: 3\nZones:\n  - {Name: z0, InService: true}")
		a.target.told = w.Now
		a.target.most = 0
		w.Run(time.Minute)
		w.check(t)
		is.True(a.target.got > 0)
	}
}

// Guards against a process that was paused while its zone went out of service
// and acts on its old view when it wakes up.
func TestPausedWhileZoneGoesOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 3)
	w.Run(2 * time.Second)
	w.load(30, 1000, 2)
	w.Run(2 * time.Second)
	a := w.agents[0]
	a.paused = true
	w.ticket("Ticket: 2\nZones:\n  - {Name: z0, InService: false}")
	w.Run(time.Minute)
	a.target.got = 0
	a.paused = false
	a.unconfirmed = true
	w.Run(3 * time.Second)
	is.Equal(a.target.got, 0)
	is.True(a.core.Counters.Held > 0)
	a.unconfirmed = false
	w.Run(3 * time.Second)
	is.Equal(a.target.got, 0)
	is.Equal(a.core.Load().Flows, 0)
	w.check(t)
}

// Guards against held packets that are lost, doubled or refused as not run
// although a copy of them ran.
func TestUnconfirmedView(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(30, 100, 2)
		for i, d := range []time.Duration{3, 4, 12} {
			w.Run(time.Second)
			w.agents[i].unconfirmed = true
			w.Run(d * time.Second)
			w.agents[i].unconfirmed = false
		}
		w.Run(2 * time.Minute)
		w.check(t)
		is.Equal(w.resets(), 0)
		is.True(w.total(packet.StatusOK) > 2500)
	}
}

// Guards against flows that are broken, or that are served under the new
// service's identity, when a ticket moves their target to another service.
func TestRetarget(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(30, 100, 1)
		w.Run(2 * time.Second)
		w.ticket("Ticket: 2\nTargets:\n" + targetLine(0, "u", ""))
		w.Run(time.Second)
		w.ticket("Ticket: 3\nTargets:\n" + targetLine(1, "s", "Draining"))
		w.Run(2 * time.Minute)
		w.check(t)
		is.Equal(w.resets(), 0)
		is.Equal(w.agents[0].core.Load().Flows, 0)
		is.Equal(w.agents[1].core.Load().Flows, 0)
		is.Equal(len(w.agents[0].former), 0)
		is.True(w.total(packet.StatusOK) >= 2970)
	}
}

// Guards against a shutdown that cuts flows whose callers always have a request
// in progress, and against answers lost with the window of a moved flow.
func TestStopBusyFlows(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(6, 500, 12)
		w.Run(3 * time.Second)
		w.update(w.agents[0], Stop{})
		w.Run(DefaultStopTimeout)
		is.True(w.agents[0].stopped)
		is.Equal(w.agents[0].core.Counters.FlowsCut, uint64(0))
		w.Run(2 * time.Minute)
		w.check(t)
		is.Equal(w.resets(), 0)
		is.Equal(w.total(packet.StatusOK), 3000)
	}
}

// Guards against flows that are broken when a ticket removes their target
// without a drain, and against work that the removed target still gets.
func TestTargetRemoved(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		w := newWorld(t, seed, 3)
		w.Run(2 * time.Second)
		w.lossy(0.1)
		w.load(30, 100, 1)
		w.Run(2 * time.Second)
		w.ticket("Ticket: 2\nRemoved:\n  - Target: t0")
		w.Run(time.Second)
		w.agents[0].target.got = 0
		w.Run(2 * time.Minute)
		w.check(t)
		is.Equal(w.agents[0].target.got, 0)
		is.Equal(w.resets(), 0)
		is.Equal(w.agents[0].core.Load().Flows, 0)
		is.True(w.total(packet.StatusOK) >= 2970)
	}
}
