package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
)

// Guards against requests to a draining target after 3 s, and against flows or
// requests that a drain breaks under packet loss.
func TestDrainUnderLoss(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(loss, "/", seed), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t, seed, 3)
				sim.Run(2 * time.Second)
				sim.setLoss(loss)
				sim.startCallers(30, 100, 1)
				sim.Run(3 * time.Second)
				sim.issueTicket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
				sim.Run(3300 * time.Millisecond)
				sim.agents[0].target.received = 0
				sim.Run(time.Minute)
				is.Equal(sim.agents[0].target.received, 0)
				is.Equal(sim.agents[0].core.Load().Flows, 0)
				sim.Run(3 * time.Minute)
				sim.checkOutcomes(t)
				is.Equal(sim.countResets(), 0)
				is.True(sim.agents[0].core.Counters.FlowsHandedOver > 0)
				is.True(sim.countOutcomes(packet.StatusOK) >= 2970)
			})
		}
	}
}

// Guards against flows that are lost when several drains follow each other and
// a flow is handed over more than once, also back to an earlier owner.
func TestRollingDrain(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(30, 1000, 1)
		n := 2
		for i := range 6 {
			sim.Run(4 * time.Second)
			sim.issueTicket(fmt.Sprintf("Ticket: %d\nTargets:\n%s%s%s", n,
				targetLine(i%3, "s", "Draining"), targetLine((i+1)%3, "s", ""), targetLine((i+2)%3, "s", "")))
			n++
		}
		sim.Run(10 * time.Second)
		sim.checkOutcomes(t)
		is.Equal(sim.countResets(), 0)
		is.Equal(sim.countOutcomes(packet.StatusOutcomeUnknown), 0)
	}
}

// Guards against a shutdown that interrupts a request, or that ends before
// every caller uses its new token.
func TestStop(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(30, 200, 1)
		sim.Run(3 * time.Second)
		start := sim.Now
		sim.update(sim.agents[0], Stop{})
		for !sim.agents[0].stopped && sim.Now < start+time.Minute {
			sim.Run(100 * time.Millisecond)
		}
		is.True(sim.agents[0].stopped)
		is.True(sim.Now-start < DefaultStopTimeout)
		sim.agents[0].down = true
		sim.Run(2 * time.Minute)
		sim.checkOutcomes(t)
		is.Equal(sim.countResets(), 0)
		is.Equal(sim.countOutcomes(packet.StatusOutcomeUnknown), 0)
	}
}

// Guards against a shutdown without peers that never ends, or that ends a
// running request before StopTimeout.
func TestStopWithoutPeers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, 1)
	sim.agents[0].target.serviceTime = 3 * time.Second
	sim.Run(time.Second)
	f := sim.startCaller(sim.agents[0], 1, 1)
	sim.Run(time.Second)
	sim.update(sim.agents[0], Stop{})
	sim.Run(10 * time.Second)
	is.True(!sim.agents[0].stopped)
	is.Equal(f.outcomes[1].kind, packet.Answer)
	sim.Run(DefaultStopTimeout)
	is.True(sim.agents[0].stopped)
	is.True(f.reset)
	sim.checkOutcomes(t)
}

// Guards against a flow with two owners when the peer restarts before or after
// it receives the handover.
func TestPeerRestartDuringHandover(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		sim := newSimulation(t, seed, 2)
		sim.Run(2 * time.Second)
		sim.setLoss(0.3)
		for range 20 {
			sim.startCaller(sim.agents[0], 100, 1)
		}
		sim.Run(2 * time.Second)
		sim.issueTicket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
		for range 5 {
			sim.Run(200 * time.Millisecond)
			sim.startAgent(sim.agents[1])
		}
		sim.Run(time.Minute)
		sim.checkOutcomes(t)
		is.True(sim.agents[0].core.Counters.FlowsHandedOver > 0)
	}
}

// Guards against packets to a target in a zone that is out of service, against
// flows that continue there, and against requests that are wrongly reported as
// not run.
func TestZoneOut(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(30, 200, 2)
		sim.Run(3 * time.Second)
		flows := sim.agents[0].core.Load().Flows
		sim.issueTicket("Ticket: 2\nZones:\n  - {Name: z0, InService: false}")
		sim.Run(time.Second)
		a := sim.agents[0]
		a.target.received = 0
		is.Equal(a.core.Load().Flows, 0)
		is.True(a.core.Counters.FlowsGivenUp >= uint64(flows))
		sim.Run(10 * time.Second)
		is.Equal(a.target.received, 0)
		is.Equal(uint64(sim.countResets()), a.core.Counters.FlowsGivenUp)
		sim.issueTicket("Ticket: 3\nZones:\n  - {Name: z0, InService: true}")
		a.target.firstReplyAt = sim.Now
		a.target.maxRunning = 0
		sim.Run(time.Minute)
		sim.checkOutcomes(t)
		is.True(a.target.received > 0)
	}
}

// Guards against a process that is paused while its zone goes out of service
// and then acts on its old view.
func TestPausedWhileZoneGoesOut(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, 3)
	sim.Run(2 * time.Second)
	sim.startCallers(30, 1000, 2)
	sim.Run(2 * time.Second)
	a := sim.agents[0]
	a.paused = true
	sim.issueTicket("Ticket: 2\nZones:\n  - {Name: z0, InService: false}")
	sim.Run(time.Minute)
	a.target.received = 0
	a.paused = false
	a.unconfirmed = true
	sim.Run(3 * time.Second)
	is.Equal(a.target.received, 0)
	is.True(a.core.Counters.Held > 0)
	a.unconfirmed = false
	sim.Run(3 * time.Second)
	is.Equal(a.target.received, 0)
	is.Equal(a.core.Load().Flows, 0)
	sim.checkOutcomes(t)
}

// Guards against held packets that are lost, applied twice or refused as not
// run although a copy of them ran.
func TestUnconfirmedView(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(30, 100, 2)
		for i, d := range []time.Duration{3, 4, 12} {
			sim.Run(time.Second)
			sim.agents[i].unconfirmed = true
			sim.Run(d * time.Second)
			sim.agents[i].unconfirmed = false
		}
		sim.Run(2 * time.Minute)
		sim.checkOutcomes(t)
		is.Equal(sim.countResets(), 0)
		is.True(sim.countOutcomes(packet.StatusOK) > 2500)
	}
}

// Guards against flows that break, or are served under the new service's
// identity, when a ticket moves their target to another service.
func TestRetarget(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(30, 100, 1)
		sim.Run(2 * time.Second)
		sim.issueTicket("Ticket: 2\nTargets:\n" + targetLine(0, "u", ""))
		sim.Run(time.Second)
		sim.issueTicket("Ticket: 3\nTargets:\n" + targetLine(1, "s", "Draining"))
		sim.Run(2 * time.Minute)
		sim.checkOutcomes(t)
		is.Equal(sim.countResets(), 0)
		is.Equal(sim.agents[0].core.Load().Flows, 0)
		is.Equal(sim.agents[1].core.Load().Flows, 0)
		is.Equal(len(sim.agents[0].former), 0)
		is.True(sim.countOutcomes(packet.StatusOK) >= 2970)
	}
}

// Guards against a shutdown that resets flows whose callers always have a
// request in progress, and against answers that are lost with the window of a
// flow that was handed over.
func TestStopBusyFlows(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(6, 500, 12)
		sim.Run(3 * time.Second)
		sim.update(sim.agents[0], Stop{})
		sim.Run(DefaultStopTimeout)
		is.True(sim.agents[0].stopped)
		is.Equal(sim.agents[0].core.Counters.FlowsCut, uint64(0))
		sim.Run(2 * time.Minute)
		sim.checkOutcomes(t)
		is.Equal(sim.countResets(), 0)
		is.Equal(sim.countOutcomes(packet.StatusOK), 3000)
	}
}

// Guards against flows that break when a ticket removes their target without a
// drain, and against requests that the removed target still gets.
func TestTargetRemoved(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(30, 100, 1)
		sim.Run(2 * time.Second)
		sim.issueTicket("Ticket: 2\nRemoved:\n  - Target: t0")
		sim.Run(time.Second)
		sim.agents[0].target.received = 0
		sim.Run(2 * time.Minute)
		sim.checkOutcomes(t)
		is.Equal(sim.agents[0].target.received, 0)
		is.Equal(sim.countResets(), 0)
		is.Equal(sim.agents[0].core.Load().Flows, 0)
		is.True(sim.countOutcomes(packet.StatusOK) >= 2970)
	}
}
