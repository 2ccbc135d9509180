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
				s := newSimulation(t, seed, 3)
				s.Run(2 * time.Second)
				s.setLoss(loss)
				s.startCallers(30, 100, 1)
				s.Run(3 * time.Second)
				s.issueTicket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
				s.Run(3300 * time.Millisecond)
				s.agents[0].target.received = 0
				s.Run(time.Minute)
				is.Equal(s.agents[0].target.received, 0)
				is.Equal(s.agents[0].core.Load().Flows, 0)
				s.Run(3 * time.Minute)
				s.checkOutcomes(t)
				is.Equal(s.countResets(), 0)
				is.True(s.agents[0].core.Counters.FlowsHandedOver > 0)
				is.True(s.countOutcomes(packet.StatusOK) >= 2970)
			})
		}
	}
}

// Guards against flows that are lost when several drains follow each other and
// a flow is handed over more than once, also back to an earlier owner.
func TestRollingDrain(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(30, 1000, 1)
		n := 2
		for i := range 6 {
			s.Run(4 * time.Second)
			s.issueTicket(fmt.Sprintf("Ticket: %d\nTargets:\n%s%s%s", n,
				targetLine(i%3, "s", "Draining"), targetLine((i+1)%3, "s", ""), targetLine((i+2)%3, "s", "")))
			n++
		}
		s.Run(10 * time.Second)
		s.checkOutcomes(t)
		is.Equal(s.countResets(), 0)
		is.Equal(s.countOutcomes(packet.StatusOutcomeUnknown), 0)
	}
}

// Guards against a shutdown that interrupts a request, or that ends before
// every caller uses its new token.
func TestStop(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(30, 200, 1)
		s.Run(3 * time.Second)
		start := s.Now
		s.update(s.agents[0], Stop{})
		for !s.agents[0].stopped && s.Now < start+time.Minute {
			s.Run(100 * time.Millisecond)
		}
		is.True(s.agents[0].stopped)
		is.True(s.Now-start < DefaultStopTimeout)
		s.agents[0].down = true
		s.Run(2 * time.Minute)
		s.checkOutcomes(t)
		is.Equal(s.countResets(), 0)
		is.Equal(s.countOutcomes(packet.StatusOutcomeUnknown), 0)
	}
}

// Guards against a shutdown without peers that never ends, or that ends a
// running request before StopTimeout.
func TestStopWithoutPeers(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 1)
	s.agents[0].target.serviceTime = 3 * time.Second
	s.Run(time.Second)
	f := s.startCaller(s.agents[0], 1, 1)
	s.Run(time.Second)
	s.update(s.agents[0], Stop{})
	s.Run(10 * time.Second)
	is.True(!s.agents[0].stopped)
	is.Equal(f.outcomes[1].kind, packet.Answer)
	s.Run(DefaultStopTimeout)
	is.True(s.agents[0].stopped)
	is.True(f.reset)
	s.checkOutcomes(t)
}

// Guards against a flow with two owners when the peer restarts before or after
// it receives the handover.
func TestPeerRestartDuringHandover(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSimulation(t, seed, 2)
		s.Run(2 * time.Second)
		s.setLoss(0.3)
		for range 20 {
			s.startCaller(s.agents[0], 100, 1)
		}
		s.Run(2 * time.Second)
		s.issueTicket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
		for range 5 {
			s.Run(200 * time.Millisecond)
			s.startAgent(s.agents[1])
		}
		s.Run(time.Minute)
		s.checkOutcomes(t)
		is.True(s.agents[0].core.Counters.FlowsHandedOver > 0)
	}
}

// Guards against packets to a target in a zone that is out of service, against
// flows that continue there, and against requests that are wrongly reported as
// not run.
func TestZoneOut(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(30, 200, 2)
		s.Run(3 * time.Second)
		flows := s.agents[0].core.Load().Flows
		s.issueTicket("Ticket: 2\nZones:\n  - {Name: z0, InService: false}")
		s.Run(time.Second)
		a := s.agents[0]
		a.target.received = 0
		is.Equal(a.core.Load().Flows, 0)
		is.True(a.core.Counters.FlowsGivenUp >= uint64(flows))
		s.Run(10 * time.Second)
		is.Equal(a.target.received, 0)
		is.Equal(uint64(s.countResets()), a.core.Counters.FlowsGivenUp)
		s.issueTicket("Ticket: 3\nZones:\n  - {Name: z0, InService: true}")
		a.target.firstReplyAt = s.Now
		a.target.maxRunning = 0
		s.Run(time.Minute)
		s.checkOutcomes(t)
		is.True(a.target.received > 0)
	}
}

// Guards against a process that is paused while its zone goes out of service
// and then acts on its old view.
func TestPausedWhileZoneGoesOut(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 3)
	s.Run(2 * time.Second)
	s.startCallers(30, 1000, 2)
	s.Run(2 * time.Second)
	a := s.agents[0]
	a.paused = true
	s.issueTicket("Ticket: 2\nZones:\n  - {Name: z0, InService: false}")
	s.Run(time.Minute)
	a.target.received = 0
	a.paused = false
	a.unconfirmed = true
	s.Run(3 * time.Second)
	is.Equal(a.target.received, 0)
	is.True(a.core.Counters.Held > 0)
	a.unconfirmed = false
	s.Run(3 * time.Second)
	is.Equal(a.target.received, 0)
	is.Equal(a.core.Load().Flows, 0)
	s.checkOutcomes(t)
}

// Guards against held packets that are lost, applied twice or refused as not
// run although a copy of them ran.
func TestUnconfirmedView(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(30, 100, 2)
		for i, d := range []time.Duration{3, 4, 12} {
			s.Run(time.Second)
			s.agents[i].unconfirmed = true
			s.Run(d * time.Second)
			s.agents[i].unconfirmed = false
		}
		s.Run(2 * time.Minute)
		s.checkOutcomes(t)
		is.Equal(s.countResets(), 0)
		is.True(s.countOutcomes(packet.StatusOK) > 2500)
	}
}

// Guards against flows that break, or are served under the new service's
// identity, when a ticket moves their target to another service.
func TestRetarget(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(30, 100, 1)
		s.Run(2 * time.Second)
		s.issueTicket("Ticket: 2\nTargets:\n" + targetLine(0, "u", ""))
		s.Run(time.Second)
		s.issueTicket("Ticket: 3\nTargets:\n" + targetLine(1, "s", "Draining"))
		s.Run(2 * time.Minute)
		s.checkOutcomes(t)
		is.Equal(s.countResets(), 0)
		is.Equal(s.agents[0].core.Load().Flows, 0)
		is.Equal(s.agents[1].core.Load().Flows, 0)
		is.Equal(len(s.agents[0].former), 0)
		is.True(s.countOutcomes(packet.StatusOK) >= 2970)
	}
}

// Guards against a shutdown that resets flows whose callers always have a
// request in progress, and against answers that are lost with the window of a
// flow that was handed over.
func TestStopBusyFlows(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(6, 500, 12)
		s.Run(3 * time.Second)
		s.update(s.agents[0], Stop{})
		s.Run(DefaultStopTimeout)
		is.True(s.agents[0].stopped)
		is.Equal(s.agents[0].core.Counters.FlowsCut, uint64(0))
		s.Run(2 * time.Minute)
		s.checkOutcomes(t)
		is.Equal(s.countResets(), 0)
		is.Equal(s.countOutcomes(packet.StatusOK), 3000)
	}
}

// Guards against flows that break when a ticket removes their target without a
// drain, and against requests that the removed target still gets.
func TestTargetRemoved(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(30, 100, 1)
		s.Run(2 * time.Second)
		s.issueTicket("Ticket: 2\nRemoved:\n  - Target: t0")
		s.Run(time.Second)
		s.agents[0].target.received = 0
		s.Run(2 * time.Minute)
		s.checkOutcomes(t)
		is.Equal(s.agents[0].target.received, 0)
		is.Equal(s.countResets(), 0)
		is.Equal(s.agents[0].core.Load().Flows, 0)
		is.True(s.countOutcomes(packet.StatusOK) >= 2970)
	}
}
