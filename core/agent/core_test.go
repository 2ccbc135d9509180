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
			s := newSimulation(t, seed, 3)
			s.Run(2 * time.Second)
			s.setLoss(loss)
			s.startCallers(30, 20, 2)
			s.Run(2 * time.Minute)
			s.checkOutcomes(t)
			is.Equal(s.countResets(), 0)
			is.True(s.countOutcomes(packet.StatusOK) >= 594)
			is.Equal(s.countOutcomes(packet.StatusOK)+s.countOutcomes(packet.StatusNotRun)+s.countOutcomes(packet.StatusOutcomeUnknown), 600)
		}
	}
}

// Guards against choices that depend on map order: the same seed must give the
// same run.
func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	run := func() []Counters {
		s := newSimulation(t, 7, 3)
		s.setLoss(0.2)
		s.startCallers(30, 20, 2)
		s.Run(3 * time.Second)
		s.issueTicket("Ticket: 2\nTargets:\n" + targetLine(0, "s", "Draining"))
		s.restartTarget(s.agents[1])
		s.Run(time.Minute)
		counters := []Counters{}
		for _, a := range s.agents {
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
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(30, 40, 2)
		for range 5 {
			s.Run(time.Second)
			s.restartTarget(s.agents[1])
			s.Run(100 * time.Millisecond)
			is.True(s.agents[1].target.maxRunning <= 1)
		}
		s.agents[2].target.down = true
		clear(s.agents[2].target.running)
		s.Run(5 * time.Second)
		s.agents[2].target.down = false
		s.agents[2].target.boot++
		s.Run(time.Minute)
		s.checkOutcomes(t)
		is.Equal(s.countResets(), 0)
		is.True(s.countOutcomes(packet.StatusOutcomeUnknown) > 0)
		is.True(s.countOutcomes(packet.StatusOK) > 1000)
	}
}

// Guards against idempotent requests that are refused as not run although their
// first run may have taken effect, and against answers mixed from two runs.
func TestIdempotentAfterRestarts(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.startCallers(30, 40, 2)
		for _, f := range s.callers {
			f.idempotent = true
		}
		for i := range 10 {
			s.Run(500 * time.Millisecond)
			s.restartTarget(s.agents[i%3])
		}
		s.Run(time.Minute)
		s.checkOutcomes(t)
		is.True(s.countOutcomes(packet.StatusOK) > 1100)
	}
}

// Guards against an agent that overloads its target after a restart because the
// target still runs requests of the agent's earlier start, and against flows of
// the earlier start that are served or whose requests are refused as not run.
func TestAgentRestart(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		a := s.agents[0]
		a.target.serviceTime = 2 * time.Second
		s.startCallers(12, 10, 2)
		s.Run(3 * time.Second)
		a.target.maxRunning = 0
		a.target.received = 0
		old := a.incarnation
		s.startAgent(a)
		s.Run(50 * time.Millisecond)
		is.True(a.core.Load().Running <= a.target.slots)
		is.Equal(a.core.Load().Running, len(a.target.running))
		s.Run(time.Minute)
		s.checkOutcomes(t)
		is.True(s.countResets() > 0)
		is.Equal(a.core.Counters.Shed, uint64(0))
		for _, f := range s.callers {
			is.True(f.reset == (f.token.Incarnation == old && f.token.Agent == a.addr))
		}
	}
}

// Guards against requests that run twice when the peer with an offer restarts
// before, while or after it runs the request.
func TestPeerRestartDuringOffers(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		s.setLoss(0.1)
		s.agents[0].target.serviceTime = 500 * time.Millisecond
		for range 15 {
			s.startCaller(s.agents[0], 20, 2)
		}
		for range 10 {
			s.Run(300 * time.Millisecond)
			s.startAgent(s.agents[1])
		}
		s.Run(2 * time.Minute)
		s.checkOutcomes(t)
		is.True(s.agents[0].core.Counters.OffersSent > 0)
		is.True(s.countOutcomes(packet.StatusOK) > 0)
	}
}

// Guards against an owner that loses track of its offers, or reports requests
// as not run, while a peer whose packets are lost runs them.
func TestOneWayPartition(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSimulation(t, seed, 3)
		s.Run(2 * time.Second)
		for range 20 {
			s.startCaller(s.agents[0], 30, 2)
		}
		s.Run(time.Second)
		far := s.agents[1].addr
		s.isCut = func(from, _ netip.AddrPort) bool {
			return from == far
		}
		s.Run(10 * time.Second)
		is.True(len(s.agents[0].suspects) > 0)
		s.isCut = nil
		s.Run(2 * time.Minute)
		s.checkOutcomes(t)
		is.Equal(s.countOutcomes(packet.StatusOK)+s.countOutcomes(packet.StatusNotRun)+s.countOutcomes(packet.StatusOutcomeUnknown), 600-s.unresolved())
	}
}
