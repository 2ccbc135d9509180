package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// probeShare is the share of the entry's link that packets may take which are
	// passed to agents in search of an owner. After a loss of power all callers come
	// back to agents that are unsure: 60 flows times 50 agents of 1 KB each would
	// fill a link of 10 Mbit/s for seconds.
	probeShare = 0.25
	// probeBurst is the part of a second's share that may be sent at once.
	probeBurst = 0.5
	// defaultLink is the speed of a link that is not known, in bytes a second.
	defaultLink = 10_000_000 / 8
	// probeOverhead is the length of the headers around a packet.
	probeOverhead = relay.HeaderBytes + 28
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

// takeProbes reports whether a packet may be passed to n unsure agents now.
func (c *Core) takeProbes(now time.Duration, packet []byte, n int) bool {
	rate := float64(c.LinkRate) * probeShare
	if rate == 0 {
		rate = defaultLink * probeShare
	}
	burst := rate * probeBurst
	c.probes = min(burst, c.probes+rate*(now-c.probesAt).Seconds())
	c.probesAt = now
	bytes := float64(n * (len(packet) + probeOverhead))
	if bytes > c.probes && c.probes < burst {
		return false
	}
	c.probes -= bytes

	return true
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
	if !c.takeProbes(now, s.held[0], len(unsure)) {
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
