package steer

import (
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// unsureQueryInterval is the time until a search whose probes exceed the limit queries the
// unsure agents again. A query carries the start time of the listed target, which makes an
// agent sure once its new target is listed.
const unsureQueryInterval = 200 * time.Millisecond

// probing is the state of the part of a search that sends the packet to targets whose
// agents are unsure. There are two waves: the targets that the flow's hash prefers, which
// hold most flows, then all others.
type probing struct {
	// packets is the number of probes that were sent.
	packets int
	// reserved is the number of bytes, already taken from Core.probes, that the second wave
	// needs: it follows at once if the first one finds no owner.
	reserved int
	// lastQuery is when the unsure agents were last queried again, rounds how often.
	lastQuery time.Duration
	rounds    int
}

// probe sends the packet to the agents that are unsure. It is called when all others that
// may hold the flow have denied it or, once probing has begun, are missing.
func (c *Core) probe(now time.Duration, k segment.Key, s *search, unsure []*reply) {
	h := s.oldest(now)
	size := len(h.packet) + messageOverhead
	if need := len(unsure)*size - s.probing.reserved; need > 0 {
		if !c.probes.take(now, need) {
			c.queryUnsure(now, k, s, unsure)

			return
		}
		s.probing.reserved += need
	}
	wave := c.wave(unsure)
	h.tried = true
	for _, r := range wave {
		r.answer = answerProbed
		r.sentAt = now
		r.probeCount = min(r.probeCount+1, maxBackoffDoublings+1)
		c.sendProbe(now, relay.Probe, r.addr, k, h.packet)
	}
	s.outstanding = len(wave)
	s.probing.packets += len(wave)
	s.probing.reserved = max(0, s.probing.reserved-len(wave)*size)
	c.note(now, Note{
		Decision: ProbesSent,
		Key:      k,
		Count:    len(wave),
	})
}

// wave returns the agents that get the packet now: the preferred ones that have not got
// one yet, or else all, those of this zone first.
func (c *Core) wave(unsure []*reply) []*reply {
	first := []*reply{}
	local := []*reply{}
	remote := []*reply{}
	for _, r := range unsure {
		if r.preferred && r.probeCount == 0 {
			first = append(first, r)
		}
		if m, ok := c.listed[r.addr]; ok && m.Zone == c.Zone {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	if len(first) > 0 {
		return first
	}

	return append(local, remote...)
}

// queryUnsure queries the unsure agents again while probes wait for their share of the
// link.
func (c *Core) queryUnsure(now time.Duration, k segment.Key, s *search, unsure []*reply) {
	p := &s.probing
	wait := unsureQueryInterval << min(p.rounds, maxBackoffDoublings)
	if c.queries.throttled || now-max(p.lastQuery, s.since) < wait {
		return
	}
	p.lastQuery = now
	p.rounds++
	for _, r := range unsure {
		c.queries.add(r.addr, k)
	}
}

// releaseReserved returns the share of the link that was reserved for probes and not used.
func (c *Core) releaseReserved(s *search) {
	c.probes.refund(s.probing.reserved)
	s.probing.reserved = 0
}

// oldest returns the oldest packet for which the caller may still wait for an answer.
func (s *search) oldest(now time.Duration) *searchPacket {
	i := slices.IndexFunc(s.held, func(h searchPacket) bool {
		return now-h.at <= searchTimeout
	})

	return &s.held[max(0, i)]
}
