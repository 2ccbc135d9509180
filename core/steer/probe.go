package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// maxStrays is the number of targets that may get a packet of a flow that is
	// probably not theirs while the owner may be among the agents that do not answer.
	// Three such packets, however far apart, would count as misrouted.
	maxStrays = 2
)

// stray counts the packets of a flow that went to targets which are probably not its
// own, the last of them at at.
type stray struct {
	count int
	at    time.Duration
}

// probeUnsure passes the packet to the agents that started after the flow may
// have begun.
func (c *Core) probeUnsure(now time.Duration, k segment.Key, s *search) {
	unsure := c.nearFirst(s)
	if len(c.unanswered(now, s)) > 0 {
		unsure = unsure[:min(len(unsure), max(0, maxStrays-c.strays[k].count))]
	}
	if len(unsure) == 0 {
		return
	}
	if !c.probes.take(now, len(unsure)*(len(s.held[0])+messageBytes)) {
		s.paused = true

		return
	}
	c.strays[k] = stray{
		count: c.strays[k].count + len(unsure),
		at:    now,
	}
	for _, a := range unsure {
		s.asked[a] = answerProbed
		s.waiting++
		c.sendProbe(now, relay.Probe, a, k, s.held[0])
	}
}

// nearFirst returns the agents that are unsure, those of this zone first.
func (c *Core) nearFirst(s *search) []netip.AddrPort {
	near := []netip.AddrPort{}
	far := []netip.AddrPort{}
	for _, a := range s.order {
		if s.asked[a] != answerUnsure {
			continue
		}
		if m, ok := c.listed[a]; ok && m.Zone == c.Zone {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}

	return append(near, far...)
}
