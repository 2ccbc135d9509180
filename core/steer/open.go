package steer

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// wrongTime is how long new flows avoid a VM whose target serves another service.
const wrongTime = time.Second

// open handles a caller's SYN: the first one or a copy.
func (c *Core) open(now time.Duration, m *CallerPacket) {
	k := m.Segment.Key
	f, ok := c.flows[k]
	if ok && f.syn == nil {
		// The flow is open; a late copy goes where the flow is.
		if f.owner.IsValid() {
			c.forward(now, f.owner, m)
		}

		return
	}
	if ok && now < f.due {
		// A copy that was held up on its way.
		return
	}
	if !ok {
		f = &flow{
			opened: now,
		}
		c.replaceSearch(now, k, f)
	}
	// In a SYN, Ack counts the copies that were sent before.
	f.first = f.first || m.Segment.Ack == 0
	if !ok {
		f.began = now - segment.SYNAge(m.Segment.Ack)
	}
	f.used = now
	f.syn = slices.Clone(m.Packet)
	c.place(now, k, f)
}

// place sends the SYN to a target that has not got it yet.
func (c *Core) place(now time.Duration, k segment.Key, f *flow) {
	route, ok := c.snapshot.Route(k.Service())
	if !ok {
		c.giveUp(now, k, NoRoute, len(f.tried))

		return
	}
	chosen, ok := c.choose(now, k, &route, f.tried)
	if !ok {
		c.placeNowhere(now, k, f)

		return
	}
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
	})
	c.sendOpen(now, addr, k, f, chosen)
}

func (c *Core) sendOpen(now time.Duration, addr netip.AddrPort, k segment.Key, f *flow, m *catalog.Member) {
	route := c.routeOf(k)
	if route == nil {
		route = &catalog.Route{}
	}
	rate := uint16(0)
	if now < m.ColdUntil {
		rate = uint16(min(math.MaxUint16, 10*c.snapshot.Config.Services[m.Service].ColdRate))
	}
	c.agent(addr).await(now, k)
	c.send(addr, relay.Message{
		Kind:     relay.Open,
		Service:  m.Service,
		Key:      k,
		ColdRate: rate,
		Slots:    uint16(min(math.MaxUint16, max(0, m.Slots))),
		Age:      milliseconds(now - f.began),
		Timeout:  milliseconds(route.Timeout),
		Priority: uint8(min(math.MaxUint8, max(0, route.Priority))),
		Packet:   f.syn,
	})
}

// milliseconds returns a time as messages carry it.
func milliseconds(d time.Duration) uint16 {
	return uint16(min(math.MaxUint16, max(0, d.Milliseconds())))
}

// placeNowhere refuses a flow that no target has got. One that some target may
// still answer goes to the last of them again.
func (c *Core) placeNowhere(now time.Duration, k segment.Key, f *flow) {
	if len(f.tried) == 0 {
		c.giveUp(now, k, NoTarget, 0)

		return
	}
	addr := f.tried[len(f.tried)-1]
	f.due = now + c.Policy.AcceptTime
	if m, ok := c.listed[addr]; ok && m.Usable() {
		c.sendOpen(now, addr, k, f, m)
	}
}

// giveUp refuses a flow that is not open, so that its caller need not wait.
func (c *Core) giveUp(now time.Duration, k segment.Key, d Decision, tried int) {
	delete(c.flows, k)
	delete(c.opening, k)
	c.note(now, Note{
		Decision: d,
		Key:      k,
		Count:    tried,
	})
	c.reset(k, 0)
}

// refused handles a SYN that an agent handed back: its target does not take it.
func (c *Core) refused(now time.Duration, m *AgentMessage, a *agent) {
	switch m.Message.Reason {
	case relay.ReasonTargetDown:
		a.avoid = now + c.Policy.DownTime
	case relay.ReasonWrongService:
		a.avoid = now + wrongTime
	default:
		a.avoid = now + c.Policy.FullTime
	}
	k := m.Message.Key
	f, ok := c.flows[k]
	if !ok || f.syn == nil || !slices.Contains(f.tried, m.From) {
		return
	}
	if !slices.Contains(f.refused, m.From) {
		f.refused = append(f.refused, m.From)
	}
	if f.tried[len(f.tried)-1] == m.From || len(f.refused) == len(f.tried) {
		c.placeRefused(now, k, f)
	}
}

// placeRefused finds another target for a SYN that was handed back, or gives the
// flow up if no target can have opened it.
func (c *Core) placeRefused(now time.Duration, k segment.Key, f *flow) {
	if _, left := c.choose(now, k, c.routeOf(k), f.tried); left && len(f.tried) < c.Policy.MaxTried {
		c.place(now, k, f)

		return
	}
	if f.first && len(f.refused) == len(f.tried) {
		c.giveUp(now, k, NoTarget, len(f.tried))

		return
	}
	// A target that got a copy of the SYN may still answer: a reset could then end an
	// open flow.
	delete(c.opening, k)
}

// tickOpening tries another target for each SYN that was not answered in time.
func (c *Core) tickOpening(now time.Duration) {
	for _, k := range segment.SortedKeys(c.opening) {
		f := c.opening[k]
		if now < f.due {
			continue
		}
		if len(f.tried) >= c.Policy.MaxTried {
			delete(c.opening, k)
			continue
		}
		c.place(now, k, f)
	}
}
