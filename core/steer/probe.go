package steer

import (
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// probeWait is the time until a search that found the bound on probes reached asks
// again: agents are sure once their target's new entry is known.
const probeWait = 200 * time.Millisecond

// trial is the part of a search in which targets get the packet. It has two waves: those
// that the flow's hash prefers, where most flows are, then all others.
type trial struct {
	// packets is the number of packets that were sent.
	packets int
	// reserved is the part of the link's share, in bytes, that the second wave needs: it
	// follows at once when the first finds no owner.
	reserved int
	// asked is when the unsure agents were asked again last, rounds how often.
	asked  time.Duration
	rounds int
}

// try passes the packet to the agents that are unsure. It is called when all others that
// may hold the flow have denied it, or are missing since the trial began.
func (c *Core) try(now time.Duration, k segment.Key, s *search, unsure []*reply) {
	h := s.oldest(now)
	size := len(h.packet) + messageBytes
	if need := len(unsure)*size - s.trial.reserved; need > 0 {
		if !c.probes.take(now, need) {
			c.askUnsure(now, k, s, unsure)

			return
		}
		s.trial.reserved += need
	}
	wave := c.wave(unsure)
	h.tried = true
	for _, r := range wave {
		r.answer = answerProbed
		r.at = now
		r.tries = min(r.tries+1, maxDoublings+1)
		c.sendProbe(now, relay.Probe, r.addr, k, h.packet)
	}
	s.waiting = len(wave)
	s.trial.packets += len(wave)
	s.trial.reserved = max(0, s.trial.reserved-len(wave)*size)
	c.note(now, Note{
		Decision: OnTrial,
		Key:      k,
		Count:    len(wave),
	})
}

// wave returns the agents that get the packet now: first the preferred ones that have
// not had it, then all, those of this zone first.
func (c *Core) wave(unsure []*reply) []*reply {
	first := []*reply{}
	near := []*reply{}
	far := []*reply{}
	for _, r := range unsure {
		if r.preferred && r.tries == 0 {
			first = append(first, r)
		}
		if m, ok := c.listed[r.addr]; ok && m.Zone == c.Zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	if len(first) > 0 {
		return first
	}

	return append(near, far...)
}

// askUnsure asks the unsure agents again while a trial waits for its share of the link.
func (c *Core) askUnsure(now time.Duration, k segment.Key, s *search, unsure []*reply) {
	t := &s.trial
	wait := probeWait << min(t.rounds, maxDoublings)
	if c.questions.held || now-max(t.asked, s.since) < wait {
		return
	}
	t.asked = now
	t.rounds++
	for _, r := range unsure {
		c.questions.add(r.addr, k)
	}
}

// release gives back the share of the link that a trial did not use.
func (c *Core) release(s *search) {
	c.probes.give(s.trial.reserved)
	s.trial.reserved = 0
}

// oldest returns the first packet whose caller may still wait for an answer.
func (s *search) oldest(now time.Duration) *waitingPacket {
	i := slices.IndexFunc(s.held, func(h waitingPacket) bool {
		return now-h.at <= searchTime
	})

	return &s.held[max(0, i)]
}
