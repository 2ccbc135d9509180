package proof_test

import (
	"slices"
	"strings"
	"time"

	"ibisfold.example/core/ticket"
)

// step is a planned change that operators make.
type step struct {
	name string
	run  func(s *site)
}

var steps = []step{
	{"none", func(*site) {}},
	{"drain", func(s *site) { s.drain(0) }},
	{"undrain", func(s *site) { s.drain(0); s.Run(stepPause); s.undrain(0) }},
	{"replace", func(s *site) { s.replace(1) }},
	{"retarget", func(s *site) { s.retarget(0, 1) }},
	{"zone out", func(s *site) { s.zone(1, false) }},
	{"zone back", func(s *site) { s.zone(1, false); s.Run(stepPause); s.zone(1, true) }},
	{"complete", func(s *site) { s.complete() }},
	{"five tickets", func(s *site) {
		s.drain(0)
		s.replace(1)
		s.zone(2, false)
		s.undrain(0)
		s.zone(2, true)
	}},
	{"roll entries", func(s *site) { s.rollEntries() }},
	{"stop agent", func(s *site) { s.stopAgent(0) }},
	{"replace VM", func(s *site) { s.scheduleOpens(40); s.replaceVM(1, openLead) }},
}

func (s *site) setTarget(i int, change func(t *ticket.Target), reason string) {
	change(&s.plan.targets[i])
	s.submit(reason, func(b *strings.Builder) {
		writeTargets(b, s.plan.targets[i:i+1])
	})
}

func (s *site) drain(i int) {
	s.setTarget(i, func(t *ticket.Target) {
		t.State = ticket.Draining
	}, "drain")
}

func (s *site) undrain(i int) {
	s.setTarget(i, func(t *ticket.Target) {
		t.State = ticket.InService
	}, "end drain")
}

// replace adds a target of the same service and zone, and drains target i.
func (s *site) replace(i int) {
	old := &s.plan.targets[i]
	old.State = ticket.Draining
	n := s.addTarget(old.Service, old.Zone)
	n.start()
	last := len(s.plan.targets) - 1
	s.submit("replace", func(b *strings.Builder) {
		writeTargets(b, []ticket.Target{s.plan.targets[i], s.plan.targets[last]})
	})
}

func (s *site) retarget(i, service int) {
	s.setTarget(i, func(t *ticket.Target) {
		t.Service = s.plan.services[service].Name
	}, "move")
}

func (s *site) zone(i int, inService bool) {
	z := &s.plan.zones[i]
	z.InService = inService
	s.submit("zone", func(b *strings.Builder) {
		writeZones(b, []ticket.Zone{*z})
	})
}

func (s *site) complete() {
	targets := slices.DeleteFunc(slices.Clone(s.plan.targets), func(t ticket.Target) bool {
		return s.gone[t.Name]
	})
	s.submit("complete", func(b *strings.Builder) {
		b.WriteString("Complete: true\n")
		writeZones(b, s.plan.zones)
		writeServices(b, s.plan.services)
		writeTargets(b, targets)
	})
}

// rollEntries restarts all entries, one after the other.
func (s *site) rollEntries() {
	for _, n := range s.entries {
		n.kill()
		s.Run(stepPause)
		n.start()
		s.Run(stepPause)
	}
}

// stopAgent drains the agent's target and then starts the agent's graceful shutdown.
func (s *site) stopAgent(i int) {
	s.drain(i)
	s.Run(stepPause)
	s.agents[i].update(agentStop)
}

// openLead is the time from the replacement of a VM to the ticket that says so.
const openLead = time.Second

// scheduleOpens opens flows one after the other, 1 ms apart, from 10 ms before the
// ticket that follows after openLead.
func (s *site) scheduleOpens(count int) {
	for i := range count {
		s.After(openLead+time.Duration(i-10)*time.Millisecond, func() {
			s.openAny(0)
		})
	}
}
