package steer

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// maxSYNDelay bounds how much longer the first SYN of a flow may have been under way than a
// copy of it that reached another entry.
const maxSYNDelay = 100 * time.Millisecond

// wrongServiceTime is how long new flows avoid a target whose agent reported that it serves
// another service.
const wrongServiceTime = time.Second

// open handles a caller's SYN, whether the first one or a copy.
func (c *Core) open(now time.Duration, m *CallerPacket) {
	k := m.Segment.Key
	f, ok := c.flows[k]
	if ok && now-f.began >= segment.ConnectTimeout {
		// No copy of the flow's own SYN comes that late: the caller uses its port again.
		c.openAnew(now, f, m)

		return
	}
	if ok && f.syn == nil {
		c.repeatToOwner(now, f, m)

		return
	}
	if !ok {
		f = c.newFlow(now, m)
	}
	f.countSYN(m.Segment.Ack)
	if now < f.due {
		// The copy was delayed in the network.
		return
	}
	c.recordSYN(now, f, m)
	c.place(now, k, f)
}

// newFlow returns the state of a flow whose first SYN here has come.
func (c *Core) newFlow(now time.Duration, m *CallerPacket) *flow {
	f := &flow{
		opened: now,
		began:  now - segment.SYNAge(m.Segment.Ack),
	}
	c.replaceSearch(now, m.Segment.Key, f)

	return f
}

// countSYN counts a SYN that came here. Its Ack is the number of SYNs that the caller sent
// before.
func (f *flow) countSYN(earlier uint32) {
	if earlier == f.synsSeen {
		f.synsSeen++
	}
}

// recordSYN keeps the SYN until the flow is open.
func (c *Core) recordSYN(now time.Duration, f *flow, m *CallerPacket) {
	f.lastUsed = now
	f.syn = slices.Clone(m.Packet)
}

// openAnew opens a flow with the key of an earlier one. The owner of that one is the first
// choice if it may open flows of the route: while another target may hold the earlier flow,
// searches could find either of the two.
func (c *Core) openAnew(now time.Duration, earlier *flow, m *CallerPacket) {
	k := m.Segment.Key
	delete(c.flows, k)
	delete(c.opening, k)
	f := c.newFlow(now, m)
	f.distrustUntil = now + searchTimeout
	f.countSYN(m.Segment.Ack)
	c.recordSYN(now, f, m)
	if t, ok := c.acceptor(k, earlier.owner); ok && !c.avoided(now, c.agent(earlier.owner)) {
		c.placeAt(now, k, f, t)

		return
	}
	c.place(now, k, f)
}

// repeatToOwner handles a late copy of the SYN of an open flow. The flow's target repeats its
// answer, in case the first one was lost.
func (c *Core) repeatToOwner(now time.Duration, f *flow, m *CallerPacket) {
	if t, ok := c.acceptor(m.Segment.Key, f.owner); ok {
		c.sendOpen(now, f.owner, m.Segment.Key, f, m.Packet, t)
	}
}

// place sends the SYN to a target that has not got it yet.
func (c *Core) place(now time.Duration, k segment.Key, f *flow) {
	route, ok := c.snapshot.Route(k.Service())
	if !ok {
		c.rejectFlow(now, k, f, NoRoute)

		return
	}
	chosen, ok := c.choose(now, k, &route, f.tried)
	if !ok {
		c.handleNoTarget(now, k, f)

		return
	}
	c.placeAt(now, k, f, chosen)
}

// placeAt sends the SYN to a target.
func (c *Core) placeAt(now time.Duration, k segment.Key, f *flow, chosen *catalog.Member) {
	addr := c.agentOf(chosen)
	decision := Placed
	if len(f.tried) > 0 {
		decision = PlacedAgain
	}
	f.tried = append(f.tried, addr)
	f.due = now + c.Policy.AcceptTime
	c.flows[k] = f
	c.opening[k] = f
	c.agent(addr).opened++
	c.note(now, Note{
		Decision: decision,
		Key:      k,
		Agent:    addr,
		Count:    len(f.tried),
		Service:  c.serviceName(chosen.Service),
	})
	c.sendOpen(now, addr, k, f, f.syn, chosen)
}

// serviceName returns the name of a service, or its ID if the configuration does not have it.
func (c *Core) serviceName(id uint64) string {
	if s, ok := c.snapshot.Config.Services[id]; ok {
		return s.Name
	}

	return strconv.FormatUint(id, 16)
}

// sendOpen sends the SYN to the agent beside a target, unless the route does not lead to the
// target's service. All SYNs are sent here. The agent refuses them if it takes flows for
// another service than the one they name.
func (c *Core) sendOpen(now time.Duration, addr netip.AddrPort, k segment.Key, f *flow, syn []byte, m *catalog.Member) {
	route := c.routeOf(k)
	if route == nil || !route.Accepts(m.Service) {
		return
	}
	rate := uint16(0)
	if now < m.ColdUntil {
		rate = uint16(min(math.MaxUint16, 10*c.snapshot.Config.Services[m.Service].ColdRate))
	}
	c.agent(addr).expectReply(now, k)
	c.send(addr, relay.Message{
		Kind:     relay.Open,
		Service:  m.Service,
		Key:      k,
		ColdRate: rate,
		Slots:    uint16(min(math.MaxUint16, max(0, m.Slots))),
		Age:      milliseconds(now - f.began),
		Timeout:  milliseconds(route.Timeout),
		Priority: uint8(min(math.MaxUint8, max(0, route.Priority))),
		Packet:   syn,
	})
}

// milliseconds converts a duration to the unit of messages, within their range.
func milliseconds(d time.Duration) uint16 {
	return uint16(min(math.MaxUint16, max(0, d.Milliseconds())))
}

// handleNoTarget handles a SYN for which no further target is left. It rejects a flow that
// no target got; otherwise it sends the SYN again, as some target may still answer.
func (c *Core) handleNoTarget(now time.Duration, k segment.Key, f *flow) {
	if len(f.tried) == 0 {
		c.rejectFlow(now, k, f, NoTarget)

		return
	}
	c.repeatSYN(now, k, f)
}

// repeatSYN sends the SYN again to the last of the targets that got it and may still open the
// flow.
func (c *Core) repeatSYN(now time.Duration, k segment.Key, f *flow) {
	f.due = now + c.Policy.AcceptTime
	for _, addr := range slices.Backward(f.tried) {
		if m, ok := c.acceptor(k, addr); ok {
			c.noteWaiting(now, k, f, SYNRepeated, addr, c.serviceName(m.Service))
			c.sendOpen(now, addr, k, f, f.syn, m)

			return
		}
	}
	c.noteWaiting(now, k, f, SYNKept, netip.AddrPort{}, "")
}

// acceptor returns the target beside an agent if it may open a flow. An address does not
// identify a target: once a target has ended, another one of any service may get it.
func (c *Core) acceptor(k segment.Key, addr netip.AddrPort) (*catalog.Member, bool) {
	m, listed := c.listed[addr]
	if !listed || !m.Usable() {
		return nil, false
	}
	route := c.routeOf(k)

	return m, route != nil && route.Accepts(m.Service)
}

// noteWaiting adds a log line on a SYN for which no further target is left, unless the line
// before it on the flow says the same.
func (c *Core) noteWaiting(now time.Duration, k segment.Key, f *flow, d Decision, addr netip.AddrPort, service string) {
	if f.waiting == d {
		return
	}
	f.waiting = d
	c.note(now, Note{
		Decision: d,
		Key:      k,
		Agent:    addr,
		Count:    len(f.tried),
		Service:  service,
	})
}

// openElsewhere reports whether another entry may have opened a flow with a SYN that the
// caller has sent by now and that did not come here.
func (f *flow) openElsewhere(now time.Duration) bool {
	return f.synsSeen <= uint32(segment.SYNCopies) && now-f.began+maxSYNDelay >= segment.SYNAge(f.synsSeen)
}

// rejectFlow resets a flow that no target can have opened, so that its caller need not wait.
// A flow that may be open elsewhere is only given up here.
func (c *Core) rejectFlow(now time.Duration, k segment.Key, f *flow, d Decision) {
	delete(c.opening, k)
	if f.openElsewhere(now) {
		return
	}
	delete(c.flows, k)
	c.note(now, Note{
		Decision: d,
		Key:      k,
		Count:    len(f.tried),
	})
	c.reset(k, 0)
}

// avoid keeps new flows from a target whose agent refused one, for a time that depends on the reason.
func (c *Core) avoid(now time.Duration, a *agent, r relay.Reason) {
	switch r {
	case relay.ReasonTargetDown:
		a.avoidUntil = now + c.Policy.DownTime
	case relay.ReasonWrongService:
		a.avoidUntil = now + wrongServiceTime
	default:
		a.avoidUntil = now + c.Policy.FullTime
	}
}

// refused handles a SYN that an agent returned because its target does not accept it.
func (c *Core) refused(now time.Duration, m *AgentMessage, a *agent) {
	c.avoid(now, a, m.Message.Reason)
	k := m.Message.Key
	f, ok := c.flows[k]
	if !ok || f.syn == nil || !slices.Contains(f.tried, m.From) {
		return
	}
	if !slices.Contains(f.refused, m.From) {
		f.refused = append(f.refused, m.From)
	}
	if f.tried[len(f.tried)-1] == m.From || len(f.refused) == len(f.tried) {
		c.retryPlacement(now, k, f)
	}
}

// retryPlacement places a SYN that was returned at another target, or rejects the flow if
// no target can have opened it.
func (c *Core) retryPlacement(now time.Duration, k segment.Key, f *flow) {
	if _, available := c.choose(now, k, c.routeOf(k), f.tried); available && len(f.tried) < c.Policy.MaxTried {
		c.place(now, k, f)

		return
	}
	if len(f.refused) == len(f.tried) {
		c.rejectFlow(now, k, f, NoTarget)

		return
	}
	// A target that got a copy of the SYN may still answer: a reset could end an open flow.
	delete(c.opening, k)
}

// tickOpening tries another target for each SYN that was not answered in time, as long as its
// caller waits.
func (c *Core) tickOpening(now time.Duration) {
	for _, k := range segment.SortedKeys(c.opening) {
		f := c.opening[k]
		if now < f.due {
			continue
		}
		if len(f.tried) >= c.Policy.MaxTried || now-f.began >= segment.ConnectTimeout {
			delete(c.opening, k)
			continue
		}
		c.place(now, k, f)
	}
}
