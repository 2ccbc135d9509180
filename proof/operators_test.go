package proof_test

import (
	"fmt"
	"strings"
	"time"

	"ibisfold.example/core/ticket"
)

// The operators of the fuzzer follow one rule: each service keeps at least one
// target that is in service, in a zone that is in service, and neither lost nor replaced
// without their notice.

// serves reports whether target i takes new work in the operators' plan.
func (s *site) serves(i int) bool {
	t := &s.plan.targets[i]
	if t.State == ticket.Draining || s.gone[t.Name] || s.oracle.lost[t.Name] {
		return false
	}
	for _, z := range s.plan.zones {
		if z.Name == t.Zone {
			return z.InService
		}
	}

	return false
}

// servicesCovered reports whether each service has a target that serves if the
// excluded targets do not.
func (s *site) servicesCovered(excluded func(t *ticket.Target) bool) bool {
	left := map[string]int{}
	for i := range s.plan.targets {
		if t := &s.plan.targets[i]; s.serves(i) && !excluded(t) {
			left[t.Service]++
		}
	}
	for _, v := range s.plan.services {
		if left[v.Name] == 0 {
			return false
		}
	}

	return true
}

// mayLeave reports whether target i serves and its service can do without it.
func (s *site) mayLeave(i int) bool {
	name := s.plan.targets[i].Name

	return s.serves(i) && s.servicesCovered(func(t *ticket.Target) bool {
		return t.Name == name
	})
}

// target returns the index of the target that the selector a chooses.
func (s *site) target(a int) int { return a % len(s.plan.targets) }

func (s *site) drainAny(a int) {
	if i := s.target(a); s.mayLeave(i) {
		s.drain(i)
	}
}

func (s *site) undrainAny(a int) {
	i := s.target(a)
	if t := &s.plan.targets[i]; t.State == ticket.Draining && !s.gone[t.Name] && s.agents[i].alive {
		s.undrain(i)
	}
}

func (s *site) replaceAny(a int) {
	const maxAgents = 20
	if i := s.target(a); s.mayLeave(i) && len(s.agents) < maxAgents {
		s.replace(i)
	}
}

func (s *site) retargetAny(a int) {
	if i := s.target(a); s.mayLeave(i) {
		s.retarget(i, a%len(s.plan.services))
	}
}

// zoneAny takes a zone out, or back if one is out.
func (s *site) zoneAny(a int) {
	for i := range s.plan.zones {
		if !s.plan.zones[i].InService {
			s.zone(i, true)
			return
		}
	}
	i := a % len(s.plan.zones)
	if s.servicesCovered(func(t *ticket.Target) bool { return t.Zone == s.plan.zones[i].Name }) {
		s.zone(i, false)
	}
}

// removeAny removes a target from the plan if its agent has drained and stopped.
func (s *site) removeAny(a int) {
	i := s.target(a)
	name := s.plan.targets[i].Name
	if !s.agents[i].stopped || s.agents[i].alive || s.gone[name] {
		return
	}
	s.gone[name] = true
	s.submit("remove", func(b *strings.Builder) {
		fmt.Fprintf(b, "Removed: [{Target: %s}]\n", name)
	})
}

// sameNumberTickets publishes two tickets with the same number that change
// different targets.
func (s *site) sameNumberTickets(a int) {
	i, k := s.target(a), s.target(a+1)
	if !s.mayLeave(i) {
		return
	}
	s.drain(i)
	s.plan.number--
	s.setTarget(k, func(t *ticket.Target) {
		t.Connections++
	}, "twin")
	// Operators see which of the two tickets is in force.
	s.undrainAny(i)
}

// conflictingTickets publishes two tickets with the same number that change the same
// target. The plan goes on from the one that is in force.
func (s *site) conflictingTickets(a int) {
	i := s.target(a)
	if !s.mayLeave(i) {
		return
	}
	s.drain(i)
	s.plan.number--
	s.undrain(i)
	if t, ok := s.oracle.latest().Targets[s.plan.targets[i].Name]; ok {
		s.plan.targets[i] = t.Value
	}
}

// lateTicket publishes two consecutive tickets in the wrong order.
func (s *site) lateTicket(a int) {
	first, second := s.target(a), s.target(a+1)
	s.plan.number++
	s.setTarget(second, func(t *ticket.Target) { t.Connections++ }, "early")
	after := s.plan.number
	s.Run(time.Duration(a%3) * time.Second)
	s.plan.number = after - 2
	s.setTarget(first, func(t *ticket.Target) { t.Connections++ }, "late")
	s.plan.number = max(s.plan.number, after)
}

func (s *site) numberGap(a int) {
	s.plan.number += uint64(1 + a%100)
	s.drainAny(a)
}

// restartEntry ends an entry and starts it again. Callers get no notice.
func (s *site) restartEntry(a int) {
	n := s.entries[a%len(s.entries)]
	n.kill()
	s.After(stepPause, n.start)
}

// restartAgent starts a planned restart: it drains the target and then stops the
// agent. startStopped starts the agent again and ends the drain.
func (s *site) restartAgent(a int) {
	i := s.target(a)
	n := s.agents[i]
	if !n.alive || n.paused || !s.mayLeave(i) {
		return
	}
	s.drain(i)
	s.After(stepPause, func() {
		if n.alive {
			n.update(agentStop)
		}
	})
}

// startStopped starts an agent again after a planned stop and ends the drain of its
// target.
func (s *site) startStopped(a int) {
	i := s.target(a)
	n := s.agents[i]
	if !n.alive && n.stopped && !s.gone[n.name] {
		n.start()
		s.undrainAny(i)
	}
}

// replaceVM replaces a VM without warning: its address goes to another target. The
// ticket that says so follows after lead.
func (s *site) replaceVM(a int, lead time.Duration) {
	const maxAgents = 20
	i := s.target(a)
	old := s.plan.targets[i]
	if !s.mayLeave(i) || len(s.agents) >= maxAgents {
		return
	}
	s.markLost(s.agents[i])
	s.agents[i].kill()
	s.agents[i].target.alive = false
	s.gone[old.Name] = true
	n := s.addTargetAt(s.plan.services[a%len(s.plan.services)].Name, old.Zone, old.Agent)
	n.start()
	s.Run(lead)
	last := len(s.plan.targets) - 1
	s.submit("replace VM", func(b *strings.Builder) {
		writeTargets(b, s.plan.targets[last:])
		fmt.Fprintf(b, "Removed: [{Target: %s}]\n", old.Name)
	})
}
