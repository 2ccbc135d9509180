package main

import (
	"fmt"
	"io"

	"ibisfold.example/core/ticket"
)

// section is a part of an explanation.
type section struct {
	title string
	// empty is printed if there are no lines.
	empty string
	lines []string
}

func (s *section) add(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

func (s *section) print(w io.Writer) {
	fmt.Fprintf(w, "%s:\n", s.title)
	if len(s.lines) == 0 {
		fmt.Fprintf(w, "  %s\n", s.empty)
	}
	for _, l := range s.lines {
		fmt.Fprintf(w, "  %s\n", l)
	}
}

// explanation compares the states before and after a ticket.
type explanation struct {
	before *ticket.State
	after  *ticket.State
}

func (e *explanation) sections() []*section {
	return []*section{
		e.zones(),
		e.services(),
		e.targets(),
		e.givenUp(),
		e.notes(),
	}
}

func (e *explanation) zones() *section {
	s := &section{
		title: "Zones",
		empty: "no change",
	}
	for _, c := range zoneChanges(e.before, e.after) {
		switch {
		case c.before == nil && c.after.InService:
			s.add("%s: added, in service", c.name)
		case c.before == nil:
			s.add("%s: added, out of service", c.name)
		case c.after == nil:
			s.add("%s: removed", c.name)
		case c.after.InService:
			s.add("%s: returns to service; its targets start cold and get new flows only", c.name)
		default:
			s.add("%s: taken out of service", c.name)
		}
	}

	return s
}

func (e *explanation) services() *section {
	s := &section{
		title: "Services and addresses",
		empty: "no change",
	}
	for _, c := range serviceChanges(e.before, e.after) {
		switch {
		case c.before == nil:
			s.add("%s: added for tenant %s at %v", c.name, c.after.Tenant, c.after.Addresses)
		case c.after == nil:
			s.add("%s: removed, with its addresses %v", c.name, c.before.Addresses)
		default:
			e.addServiceChanges(s, c)
		}
	}

	return s
}

func (e *explanation) addServiceChanges(s *section, c change[ticket.Service]) {
	if c.before.ServiceTime != c.after.ServiceTime {
		s.add("%s: service time changes from %v to %v", c.name, c.before.ServiceTime, c.after.ServiceTime)
	}
	if c.before.Tenant != c.after.Tenant {
		s.add("%s: tenant changes from %s to %s", c.name, c.before.Tenant, c.after.Tenant)
	}
	for _, a := range subtract(c.after.Addresses, c.before.Addresses) {
		s.add("%s: address %v added", c.name, a)
	}
	for _, a := range subtract(c.before.Addresses, c.after.Addresses) {
		s.add("%s: address %v removed", c.name, a)
	}
}

func (e *explanation) targets() *section {
	s := &section{
		title: "Targets",
		empty: "no change",
	}
	for _, c := range targetChanges(e.before, e.after) {
		switch {
		case c.before == nil:
			s.add("%s: added to service %s in zone %s, agent %v, %d slots, %d connections, %s; starts cold",
				c.name, c.after.Service, c.after.Zone, c.after.Agent, c.after.Slots, c.after.Connections, stateOf(*c.after))
		case c.after == nil:
			s.add("%s: removed from service %s", c.name, c.before.Service)
		default:
			addTargetChanges(s, c)
		}
	}

	return s
}

func addTargetChanges(s *section, c change[ticket.Target]) {
	b, a := c.before, c.after
	if b.Service != a.Service {
		s.add("%s: moves from service %s to %s", c.name, b.Service, a.Service)
	}
	if b.Zone != a.Zone {
		s.add("%s: zone changes from %s to %s", c.name, b.Zone, a.Zone)
	}
	if b.Agent != a.Agent {
		s.add("%s: agent address changes from %v to %v", c.name, b.Agent, a.Agent)
	}
	if b.Slots != a.Slots {
		s.add("%s: slots change from %d to %d", c.name, b.Slots, a.Slots)
	}
	if b.Connections != a.Connections {
		s.add("%s: connections change from %d to %d", c.name, b.Connections, a.Connections)
	}
	switch {
	case stateOf(*b) == stateOf(*a):
	case stateOf(*a) == ticket.Draining:
		s.add("%s: drains; it gets no new work after 3 s and hands its flows over", c.name)
	default:
		s.add("%s: returns to service", c.name)
	}
}

// givenUp lists the targets whose flows are reset: those of zones that were in
// service before the ticket and are not after it.
func (e *explanation) givenUp() *section {
	s := &section{
		title: "Flows given up",
		empty: "none",
	}
	for _, c := range zoneChanges(e.before, e.after) {
		if c.before == nil || !c.before.InService || c.after != nil && c.after.InService {
			continue
		}
		for _, t := range presentValues(e.before.Targets) {
			if t.Zone == c.name {
				s.add("all flows of target %s (service %s, zone %s), at most %d", t.Name, t.Service, c.name, t.Connections)
			}
		}
	}

	return s
}

// notes lists the services whose number of targets in service changes. Without a
// target in service, flows of a service can be neither opened nor handed over.
func (e *explanation) notes() *section {
	s := &section{
		title: "Notes",
		empty: "none",
	}
	before := e.countServing(e.before)
	after := e.countServing(e.after)
	for _, v := range presentValues(e.before.Services) {
		if before[v.Name] > 0 && after[v.Name] == 0 {
			s.add("service %s has no target in service any more: flows can neither be opened nor handed over", v.Name)
		}
	}
	for _, v := range presentValues(e.after.Services) {
		if b, a := before[v.Name], after[v.Name]; a > 0 && a != b {
			s.add("service %s: %d targets in service, %d before", v.Name, a, b)
		}
	}

	return s
}

// countServing counts the targets in service of each service.
func (e *explanation) countServing(s *ticket.State) map[string]int {
	m := map[string]int{}
	for _, t := range presentValues(s.Targets) {
		z := existing(s.Zones, t.Zone)
		if z != nil && z.InService && stateOf(t) == ticket.InService {
			m[t.Service]++
		}
	}

	return m
}
