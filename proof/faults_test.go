package proof_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/agent"
	"ibisfold.example/core/mesh"
	"ibisfold.example/core/packet"
)

// stepPause is the time between the parts of a step, and the downtime of a process
// that was killed.
const stepPause = 2 * time.Second

var agentStop = agent.Stop{}

// fault is one injected failure. Its effects on the network and the platform end
// with site.heal.
type fault struct {
	name string
	run  func(s *site)
	// minTime is the minimum time until heal, from the start of the fault or the step,
	// whichever comes first. It has no effect if it is less than minFaultTime.
	minTime time.Duration
}

// minFaultTime is the minimum time until heal for all faults.
const minFaultTime = 6 * time.Second

// entryAt, agentAt and zoneAt return the process or zone at index i, counted from
// the site's offset.
func (s *site) entryAt(i int) *entryNode { return s.entries[(i+s.offset)%len(s.entries)] }
func (s *site) agentAt(i int) *agentNode { return s.agents[(i+s.offset)%len(s.agents)] }
func (s *site) zoneAt(i int) string      { return zoneNames[(i+s.offset)%len(zoneNames)] }

// markUnplanned tells the oracle that requests may end without an answer from now on.
func (s *site) markUnplanned() {
	s.oracle.planned = false
}

// markLost tells the oracle that the flows of the agent's target may end.
func (s *site) markLost(n *agentNode) {
	s.markUnplanned()
	s.oracle.lost[n.name] = true
}

func (s *site) pauseEntry(i int, d time.Duration) {
	s.markUnplanned()
	n := s.entryAt(i)
	s.pause(&n.process, n, d)
}

func (s *site) pauseAgent(i int, d time.Duration) {
	s.markUnplanned()
	n := s.agentAt(i)
	s.pause(&n.process, n, d)
}

func (s *site) killAgent(i int) {
	n := s.agentAt(i)
	s.markLost(n)
	n.kill()
	s.After(stepPause, n.start)
}

func (s *site) killEntry(i int) {
	n := s.entryAt(i)
	n.kill()
	s.After(stepPause, n.start)
}

// stopTarget ends a target's process and starts it again after stepPause, cold.
func (s *site) stopTarget(i int) {
	n := s.agentAt(i)
	s.markLost(n)
	n.target.alive = false
	s.After(stepPause, n.target.start)
}

// coldRestartTarget restarts a target at once and without an announcement.
func (s *site) coldRestartTarget(i int) {
	s.markLost(s.agentAt(i))
	s.agentAt(i).target.start()
}

func (s *site) hangTarget(i int) {
	n := s.agentAt(i)
	s.markLost(n)
	n.target.hung = true
	s.After(4*time.Second, func() {
		n.target.hung = false
	})
}

func (s *site) cutPair(from, to *process) {
	s.markUnplanned()
	s.net.cutPairs[[2]netip.AddrPort{from.addr, to.addr}] = true
	s.net.cutPairs[[2]netip.AddrPort{to.addr, from.addr}] = true
}

func (s *site) setLoss(loss, duplicate float64, jitter time.Duration) {
	s.markUnplanned()
	s.net.loss = loss
	s.net.duplicate = duplicate
	s.net.jitter = jitter
}

func (s *site) addNewEntry() {
	i := len(s.entries)
	n := s.addEntry(fmt.Sprint("entry-", i+1), zoneNames[i%len(zoneNames)], processAddress(1, i+1))
	n.start()
}

func faults() []fault {
	f := []fault{
		{name: "none", run: func(*site) {}},
		{name: "entry dies", run: func(s *site) { s.killEntry(0) }},
		{name: "two entries die", run: func(s *site) { s.killEntry(0); s.killEntry(1) }},
		{name: "entry joins", run: func(s *site) { s.addNewEntry() }},
		{name: "entry pauses 1 s", run: func(s *site) { s.pauseEntry(0, 1100*time.Millisecond) }},
		{name: "entry pauses 10 s", run: func(s *site) { s.pauseEntry(0, 10*time.Second) }, minTime: 12 * time.Second},
		{name: "entry pauses 5 min", run: func(s *site) { s.pauseEntry(0, 5*time.Minute) }, minTime: 305 * time.Second},
		{name: "agent dies", run: func(s *site) { s.killAgent(0) }},
		{name: "agent dies twice", run: func(s *site) {
			s.killAgent(0)
			s.After(2*stepPause, func() { s.killAgent(0) })
		}},
		{name: "agent pauses 1 s", run: func(s *site) { s.pauseAgent(0, 1100*time.Millisecond) }},
		{name: "agent pauses 10 s", run: func(s *site) { s.pauseAgent(1, 10*time.Second) }, minTime: 12 * time.Second},
		{name: "agent pauses 5 min", run: func(s *site) { s.pauseAgent(1, 5*time.Minute) }, minTime: 305 * time.Second},
		{name: "target dies", run: func(s *site) { s.stopTarget(0) }},
		{name: "target goes cold", run: func(s *site) { s.coldRestartTarget(0) }},
		{name: "target goes cold twice", run: func(s *site) {
			s.coldRestartTarget(0)
			s.After(time.Second, func() { s.coldRestartTarget(0) })
		}},
		{name: "target hangs", run: func(s *site) { s.hangTarget(0) }},
		{name: "configuration down", run: func(s *site) { s.config.down = true }},
		{name: "configuration stale", run: func(s *site) { s.config.shownTickets = len(s.config.texts) }},
		{name: "configuration rolled back", run: func(s *site) { s.config.shownTickets = 1; s.answerBlockingReads() }},
		{name: "value truncated", run: func(s *site) { s.config.truncated = true; s.answerBlockingReads() }},
		{name: "configuration down, entry joins", run: func(s *site) { s.config.down = true; s.addNewEntry() }},
		{name: "dead VM listed", run: func(s *site) { s.config.laggingVMs = s.vms(); s.killEntry(0) }},
		{name: "live VM missing", run: func(s *site) {
			s.config.laggingVMs = slices.DeleteFunc(s.vms(), func(n mesh.Node) bool {
				return n.Addr == s.entryAt(0).addr
			})
		}},
		{name: "zone cut off", run: func(s *site) { s.markUnplanned(); s.net.cutZones[s.zoneAt(1)] = true }},
		{name: "two zones cut off", run: func(s *site) {
			s.markUnplanned()
			s.net.cutZones[s.zoneAt(1)] = true
			s.net.cutZones[s.zoneAt(2)] = true
		}},
		{name: "one-way loss of a zone", run: func(s *site) { s.markUnplanned(); s.net.oneWayZones[s.zoneAt(1)] = true }},
		{name: "pair cut off", run: func(s *site) { s.cutPair(&s.agentAt(0).process, &s.agentAt(1).process) }},
		{name: "entry and agent cut off", run: func(s *site) { s.cutPair(&s.entryAt(0).process, &s.agentAt(0).process) }},
		{name: "1% loss", run: func(s *site) { s.setLoss(0.01, 0, 0) }},
		{name: "10% loss", run: func(s *site) { s.setLoss(0.1, 0, 0) }},
		{name: "30% loss", run: func(s *site) { s.setLoss(0.3, 0, 0) }},
		{name: "duplicates", run: func(s *site) { s.setLoss(0, 0.3, 0) }},
		{name: "jitter 200 ms", run: func(s *site) { s.setLoss(0, 0, 200*time.Millisecond) }},
		{name: "loss, duplicates and jitter", run: func(s *site) { s.setLoss(0.1, 0.1, 200*time.Millisecond) }},
		{name: "entry pauses 10 s, zone cut off", run: func(s *site) {
			s.pauseEntry(0, 10*time.Second)
			s.net.cutZones[s.zoneAt(1)] = true
		}, minTime: 12 * time.Second},
		{name: "agent dies, 10% loss", run: func(s *site) { s.killAgent(0); s.setLoss(0.1, 0, 0) }},
	}
	kinds := []packet.TunnelKind{
		packet.ToAgent, packet.ToEntry, packet.ToOwner, packet.Offer, packet.OfferAnswer,
		packet.OfferCancel, packet.Handover, packet.HandoverAck, packet.HandoverCommit, packet.HandoverDone,
		packet.Heartbeat,
	}
	for _, mode := range []string{"lost", "late", "twice"} {
		for _, k := range kinds {
			f = append(f, tamperFault(tamper{
				kind: k,
				mode: mode,
			}, k.String()))
		}
		f = append(f, tamperFault(tamper{
			meshTraffic: true,
			mode:        mode,
		}, "mesh"))
	}

	return f
}

func tamperFault(t tamper, kind string) fault {
	return fault{
		name: kind + " " + t.mode,
		run: func(s *site) {
			s.markUnplanned()
			t.left = 10
			s.net.tamper = t
		},
	}
}
