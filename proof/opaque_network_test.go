package proof_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/conntrack"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
	"ibisfold.example/core/steer"
	"ibisfold.example/platform"
)

// delay returns the time that a message takes between two zones.
func (w *opaqueWorld) delay(a, b string) time.Duration {
	if a == b {
		return opaqueZoneDelay
	}

	return opaqueCrossZoneDelay
}

// Probabilities that a message between VMs is lost, duplicated or late in an unreliable
// world, and the bound of the additional delay of a late one.
const (
	opaqueLossChance      = 0.01
	opaqueDuplicateChance = 0.05
	opaqueLateChance      = 0.1
	opaqueMaxLateness     = 30 * time.Millisecond
)

// carry calls run, which delivers a message between VMs, after d. In an unreliable world
// it may call run late, twice or not at all.
func (w *opaqueWorld) carry(d time.Duration, run func()) {
	if !w.unreliable {
		w.After(d, run)

		return
	}
	if w.random.Float64() < opaqueLossChance {
		return
	}
	copies := 1
	if w.random.Float64() < opaqueDuplicateChance {
		copies = 2
	}
	for range copies {
		late := time.Duration(0)
		if w.random.Float64() < opaqueLateChance {
			late = time.Duration(w.random.Int64N(int64(opaqueMaxLateness)))
		}
		w.After(d+late, run)
	}
}

func (w *opaqueWorld) entryUpdate(e *opaqueEntry, m steer.Message) {
	if w.deferMessage(&e.pause, m, func() { w.entryUpdate(e, m) }) {
		return
	}
	for _, c := range slices.Clone(e.core.Update(w.Now, m)) {
		switch c := c.(type) {
		case *steer.Send:
			w.toAgent(e, c.To, c.Message)
		case steer.CheckPort:
			w.checkPort(e, c)
		case steer.ConfirmList:
			w.After(opaqueStoreDelay, func() {
				w.confirmOnRequest(e)
			})
		case steer.Reset:
			w.toCaller(e.zone, c.Key, platform.AppendReset(nil, c.Key, c.Seq))
		case steer.Note:
			w.log = append(w.log, fmt.Sprintf("%v entry %v %v %v %v heard %v count %d %v", w.Now, e.addr, c.Decision, c.Key, c.Agent, c.Age, c.Count, c.Reason)+
				fmt.Sprintf(" asked %d unsure %d unanswered %d tried %d list %v", c.Asked, c.Unsure, c.Unanswered, c.Tried, c.ListAge))
		}
	}
}

func (w *opaqueWorld) toAgent(e *opaqueEntry, to netip.AddrPort, m relay.Message) {
	b := m.Append(nil)
	if m.Kind == relay.Probe || m.Kind == relay.ProbeZone {
		w.probed += 1 + len(m.Forwards)
		w.probeBytes += len(b)
	}
	w.sendToAgent(e.zone, e.addr, to, b)
}

// sendToAgent carries a message of an entry or an agent in a zone to an agent.
func (w *opaqueWorld) sendToAgent(zone string, from, to netip.AddrPort, b []byte) {
	for _, a := range w.agents {
		if a.addr != to {
			continue
		}
		w.carry(w.delay(zone, a.zone), func() {
			if !a.down {
				w.deliverToAgent(a, from, b)
			}
		})
	}
}

func (w *opaqueWorld) deliverToAgent(a *opaqueAgent, from netip.AddrPort, b []byte) {
	m := conntrack.EntryMessage{
		From: from,
	}
	if err := m.Message.Decode(b); err != nil {
		w.t.Fatal(err)
	}
	if len(m.Message.Packet) > 0 {
		m.Segment = w.decode(m.Message.Packet)
	}
	w.agentUpdate(a, &m)
}

func (w *opaqueWorld) decode(b []byte) segment.Segment {
	s, err := platform.FromCaller(b)
	if err != nil {
		w.t.Fatal(err)
	}

	return s
}

func (w *opaqueWorld) agentUpdate(a *opaqueAgent, m conntrack.Message) {
	if w.deferMessage(&a.pause, m, func() { w.agentUpdate(a, m) }) {
		return
	}
	defer w.endBatch(a)
	for _, c := range slices.Clone(a.core.Update(w.Now, m)) {
		switch c := c.(type) {
		case conntrack.ToTarget:
			b := slices.Clone(c.Packet)
			w.After(0, func() {
				w.targetReceive(a, b)
			})
		case conntrack.ToCaller:
			w.toCaller(a.zone, c.Key, slices.Clone(c.Packet))
		case conntrack.ToEntry:
			if c.Bounced {
				platform.RestoreBounced(c.Message.Packet)
			}
			w.toEntry(a, c.To, c.Message)
		case conntrack.ToAgent:
			w.sendToAgent(a.zone, a.addr, c.To, c.Message.Append(nil))
		case conntrack.Reset:
			w.toCaller(a.zone, c.Key, platform.AppendReset(nil, c.Key, c.Seq))
		case conntrack.CheckTarget:
			w.checkTarget(a)
		case conntrack.Note:
			w.log = append(w.log, fmt.Sprintf("%v agent %v %v %v %v heard %v count %d %v", w.Now, a.addr, c.Decision, c.Key, c.Entry, c.Age, c.Count, c.Reason))
		}
	}
}

// endBatch lets an agent tell entries of bounced probes once it has handled all messages of this
// moment.
func (w *opaqueWorld) endBatch(a *opaqueAgent) {
	if a.batchEnds || !a.core.HasDenials() {
		return
	}
	a.batchEnds = true
	core := a.core
	w.After(0, func() {
		a.batchEnds = false
		if !a.down && a.core == core {
			w.agentUpdate(a, conntrack.BatchEnd{})
		}
	})
}

func (w *opaqueWorld) toEntry(a *opaqueAgent, to netip.AddrPort, m relay.Message) {
	if m.Kind == relay.Stopping && w.disabled == opaqueAnnouncement {
		return
	}
	if m.Kind == relay.Handover && w.disabled == opaqueHandover {
		return
	}
	b := m.Append(nil)
	for _, e := range w.entries {
		if e.addr != to {
			continue
		}
		w.carry(w.delay(e.zone, a.zone), func() {
			if e.down {
				return
			}
			m := steer.AgentMessage{
				From: a.addr,
			}
			if err := m.Message.Decode(b); err != nil {
				w.t.Fatal(err)
			}
			if len(m.Message.Packet) > 0 {
				m.Segment = w.decode(m.Message.Packet)
			}
			w.entryUpdate(e, &m)
		})
	}
}

// toRouters passes a caller's packet to the entry that the flow's hash selects among
// those in the zone's rotation.
func (w *opaqueWorld) toRouters(zone string, k segment.Key, b []byte) {
	near := []*opaqueEntry{}
	for _, e := range w.entries {
		if e.zone == zone && !e.outOfRotation {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		w.recordRouting(k, nil)

		return
	}
	e := near[k.Hash()%uint64(len(near))]
	w.recordRouting(k, e)
	w.After(time.Millisecond, func() {
		if e.down {
			return
		}
		e.lastPacket = w.Now
		w.entryUpdate(e, &steer.CallerPacket{
			Segment: w.decode(b),
			Packet:  b,
		})
	})
}
