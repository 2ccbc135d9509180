package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
)

// setLoss sets the loss of the network, with the duplication and delay of the
// design's worst case.
func (s *simulation) setLoss(loss float64) {
	s.loss = loss
	s.repeat = 0.2
	s.delay = 100 * time.Millisecond
}

// startCallers starts callers spread evenly over the agents.
func (s *simulation) startCallers(callers, requests, parallel int) {
	for i := range callers {
		s.startCaller(s.agents[i%len(s.agents)], requests, parallel)
	}
}

// Guards against lost, duplicate and mismatched answers when the network loses,
// repeats and reorders packets between callers and agents and between agents.
func TestAnswersUnderLoss(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		for seed := range uint64(5) {
			is := is.New(t)
			sim := newSimulation(t, seed, 3)
			sim.Run(2 * time.Second)
			sim.setLoss(loss)
			sim.startCallers(30, 20, 2)
			sim.Run(2 * time.Minute)
			sim.checkOutcomes(t)
			is.Equal(sim.countResets(), 0)
			is.True(sim.countOutcomes(packet.StatusOK) >= 594)
			is.Equal(sim.countOutcomes(packet.StatusOK)+sim.countOutcomes(packet.StatusNotRun)+sim.countOutcomes(packet.StatusOutcomeUnknown), 600)
		}
	}
}

// Guards against choices that depend on map order: the same seed must give the
// same run.
func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	run := func() []Counters {
		sim := newSimulation(t, 7, 3)
		sim.setLoss(0.2)
		sim.startCallers(30, 20, 2)
		sim.Run(3 * time.Second)
		sim.issueTicket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
		sim.restartTarget(sim.agents[1])
		sim.Run(time.Minute)
		counters := []Counters{}
		for _, a := range sim.agents {
			counters = append(counters, a.core.Counters)
		}

		return counters
	}
	is.Equal(run(), run())
}

// Guards against requests that run again or are reported as not run after a
// restarted target lost them, and against more load than a cold target takes.
func TestTargetRestart(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(30, 40, 2)
		for range 5 {
			sim.Run(time.Second)
			sim.restartTarget(sim.agents[1])
			sim.Run(100 * time.Millisecond)
			is.True(sim.agents[1].target.maxRunning <= 1)
		}
		sim.agents[2].target.down = true
		clear(sim.agents[2].target.running)
		sim.Run(5 * time.Second)
		sim.agents[2].target.down = false
		sim.agents[2].target.boot++
		sim.Run(time.Minute)
		sim.checkOutcomes(t)
		is.Equal(sim.countResets(), 0)
		is.True(sim.countOutcomes(packet.StatusOutcomeUnknown) > 0)
		is.True(sim.countOutcomes(packet.StatusOK) > 1000)
	}
}

// Guards against idempotent requests that are refused as not run although their
// first run may have taken effect, and against answers mixed from two runs.
func TestIdempotentAfterRestarts(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.startCallers(30, 40, 2)
		for _, f := range sim.callers {
			f.idempotent = true
		}
		for i := range 10 {
			sim.Run(500 * time.Millisecond)
			sim.restartTarget(sim.agents[i%3])
		}
		sim.Run(time.Minute)
		sim.checkOutcomes(t)
		is.True(sim.countOutcomes(packet.StatusOK) > 1100)
	}
}

// Guards against an agent that overloads its target after a restart because the
// target still runs requests of the agent's earlier start, and against flows of
// the earlier start that are served or whose requests are refused as not run.
func TestAgentRestart(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		a := sim.agents[0]
		a.target.serviceTime = 2 * time.Second
		sim.startCallers(12, 10, 2)
		sim.Run(3 * time.Second)
		a.target.maxRunning = 0
		a.target.received = 0
		old := a.incarnation
		sim.startAgent(a)
		sim.Run(50 * time.Millisecond)
		is.True(a.core.Load().Running <= a.target.slots)
		is.Equal(a.core.Load().Running, len(a.target.running))
		sim.Run(time.Minute)
		sim.checkOutcomes(t)
		is.True(sim.countResets() > 0)
		is.Equal(a.core.Counters.Shed, uint64(0))
		for _, f := range sim.callers {
			is.True(f.reset == (f.token.Incarnation == old && f.token.Agent == a.addr))
		}
	}
}

// Guards against requests that run twice when the peer with an offer restarts
// before, while or after it runs the request.
func TestPeerRestartDuringOffers(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		sim.setLoss(0.1)
		sim.agents[0].target.serviceTime = 500 * time.Millisecond
		for range 15 {
			sim.startCaller(sim.agents[0], 20, 2)
		}
		for range 10 {
			sim.Run(300 * time.Millisecond)
			sim.startAgent(sim.agents[1])
		}
		sim.Run(2 * time.Minute)
		sim.checkOutcomes(t)
		is.True(sim.agents[0].core.Counters.OffersSent > 0)
		is.True(sim.countOutcomes(packet.StatusOK) > 0)
	}
}

// Guards against an owner that loses track of its offers, or reports requests
// as not run, while a peer whose packets are lost runs them.
func TestOneWayPartition(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		sim := newSimulation(t, seed, 3)
		sim.Run(2 * time.Second)
		for range 20 {
			sim.startCaller(sim.agents[0], 30, 2)
		}
		sim.Run(time.Second)
		peerAddr := sim.agents[1].addr
		sim.isCut = func(from, _ netip.AddrPort) bool {
			return from == peerAddr
		}
		sim.Run(10 * time.Second)
		is.True(len(sim.agents[0].suspects) > 0)
		sim.isCut = nil
		sim.Run(2 * time.Minute)
		sim.checkOutcomes(t)
		is.Equal(sim.countOutcomes(packet.StatusOK)+sim.countOutcomes(packet.StatusNotRun)+sim.countOutcomes(packet.StatusOutcomeUnknown), 600-sim.remaining())
	}
}
