package steer

import (
	"slices"
	"time"

	"ibisfold.example/core/segment"
)

// unsureQueryInterval is the time until a search whose probes exceed the limit queries the
// unsure agents again: packets of their targets and flow tables of earlier processes may have
// made them sure of the flow since.
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
	first, others := splitWaves(unsure)
	wave, next := c.probeEach(first), c.probeZones(k, others, len(h.packet))
	if need := probeBytes(wave, h.packet) + probeBytes(next, h.packet) - s.probing.reserved; need > 0 {
		if !c.probes.take(now, need) {
			c.queryUnsure(now, k, s, unsure)

			return
		}
		s.probing.reserved += need
	}
	if len(wave) == 0 {
		wave = next
	}
	h.tried = true
	s.outstanding = 0
	for i := range wave {
		s.outstanding += c.sendProbe(now, k, &wave[i], h.packet)
	}
	s.probing.packets += s.outstanding
	s.probing.reserved = max(0, s.probing.reserved-probeBytes(wave, h.packet))
	c.note(now, Note{
		Decision: ProbesSent,
		Key:      k,
		Count:    s.outstanding,
	})
}

// splitWaves returns the agents that get the packet first, the preferred ones that have not got
// one yet, and the others.
func splitWaves(unsure []*reply) (first, others []*reply) {
	for _, r := range unsure {
		if r.preferred && r.probeCount == 0 {
			first = append(first, r)
		} else {
			others = append(others, r)
		}
	}

	return first, others
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
