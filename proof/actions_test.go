package proof_test

import (
	"time"
)

// action is one random step of a fuzzer world: a change by operators, an act of
// a caller, or a fault.
type action struct {
	// kind is an index of actionKinds.
	kind int
	// selector chooses the process, target, caller or fault.
	selector int
	// wait is the time before the action.
	wait time.Duration
}

// actionKind is a kind of action with its relative frequency.
type actionKind struct {
	name   string
	weight int
	// run executes an action with the selector a.
	run func(s *site, a int)
}

var actionKinds = []actionKind{
	{"drain", 3, (*site).drainAny},
	{"undrain", 3, (*site).undrainAny},
	{"replace", 2, (*site).replaceAny},
	{"retarget", 2, (*site).retargetAny},
	{"zone out or back", 3, (*site).zoneAny},
	{"complete", 1, func(s *site, _ int) { s.complete() }},
	{"remove", 2, (*site).removeAny},
	{"twins", 1, (*site).sameNumberTickets},
	{"conflict", 1, (*site).conflictingTickets},
	{"late ticket", 1, (*site).lateTicket},
	{"gap", 1, (*site).numberGap},
	{"restart entry", 2, (*site).restartEntry},
	{"restart agent", 2, (*site).restartAgent},
	{"start stopped", 2, (*site).startStopped},
	{"replace VM", 1, func(s *site, a int) { s.replaceVM(a, 0) }},
	{"open", 4, (*site).openAny},
	{"request", 4, (*site).requestAny},
	{"close", 3, (*site).closeAny},
	{"idle", 2, (*site).idleAny},
	{"late copy", 4, (*site).copyAny},
	{"fault", 10, (*site).faultAny},
	{"heal", 6, func(s *site, _ int) { s.heal() }},
}

// weightedKinds lists the index of each kind as often as its weight says.
func weightedKinds() []int {
	list := []int{}
	for i, k := range actionKinds {
		for range k.weight {
			list = append(list, i)
		}
	}

	return list
}

func (s *site) caller(a int) *caller { return s.callers[a%len(s.callers)] }

func (s *site) openAny(a int) {
	const maxCallers = 60
	if len(s.callers) >= maxCallers {
		return
	}
	v := s.plan.services[a%len(s.plan.services)]
	s.keepRequesting(s.addCaller(v.Name, v.Addresses[0]))
}

func (s *site) requestAny(a int) {
	s.caller(a).request(a%2 == 0)
}

func (s *site) closeAny(a int) {
	s.caller(a).close()
}

func (s *site) idleAny(a int) {
	s.caller(a).idleUntil = s.Now + time.Duration(1+a%12)*time.Second
}

// copyAny delivers a late copy of a packet that a caller has sent before.
func (s *site) copyAny(a int) {
	c := s.caller(a)
	if len(c.sentPackets) == 0 {
		return
	}
	p := c.sentPackets[a%len(c.sentPackets)]
	s.After(time.Duration(a%8)*time.Second, func() {
		c.carry(p)
	})
}

func (s *site) faultAny(a int) {
	f := faults()
	s.offset = a / len(f)
	f[a%len(f)].run(s)
}
