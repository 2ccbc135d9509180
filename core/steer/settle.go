package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/segment"
)

const (
	// farWaveTime is waveTime for questions that wait for the next tick.
	farWaveTime = waveTime + TickTime
	// trialTime is how long the reaction of a target to a packet on trial is awaited. An
	// agent whose target does not bounce it says so after 40 to 60 ms.
	trialTime = 80 * time.Millisecond
	// maxDoublings bounds the growth of the waits for agents that do not answer, so
	// that a full link gets a chance to become free.
	maxDoublings = 3
	// renewTime is how long an unsure agent may not be heard while a search waits for
	// others before it is asked whether it is still there.
	renewTime = 120 * time.Millisecond
)

// views sorts the agents that may hold a flow and have not denied it. Those whose
// silence shows that they are gone are in none of the lists.
type views struct {
	// missing did not answer, or are away since.
	missing []*reply
	// unsure are there and do not know.
	unsure []*reply
	// tried have a packet whose reaction is awaited.
	tried []*reply
}

// settle decides a search in which all agents were asked. A trial begins only when each
// agent that may hold the flow is there: three packets of a flow at other targets and none
// at its own count as misrouted, whichever entries sent them. For the same reason one that
// has begun goes on with the agents that are there. Agents of a list that came since the
// last tick are asked first.
func (c *Core) settle(now time.Duration, k segment.Key, s *search) {
	c.askNew(now, k, s)
	v := c.review(now, s)
	s.waiting = len(v.missing) + len(v.tried)
	switch {
	case len(v.tried) > 0:
	case len(v.missing) > 0:
		if s.trial.packets > 0 && len(v.unsure) > 0 {
			c.try(now, k, s, v.unsure)
		}
		c.release(s)
		c.chase(now, k, s, v)
	case len(v.unsure) > 0:
		c.try(now, k, s, v.unsure)
	case c.listCurrent(now):
		c.notHeld(now, k, s)
	}
}

// review returns what the search waits for, until the next review.
func (c *Core) review(now time.Duration, s *search) *views {
	v := &c.views
	v.missing = v.missing[:0]
	v.unsure = v.unsure[:0]
	v.tried = v.tried[:0]
	for i := range s.replies {
		r := &s.replies[i]
		if r.answer == answerNo || c.gone(now, s, r) {
			continue
		}
		if r.answer == answerProbed && now-r.at >= trialTime<<min(r.tries-1, maxDoublings) {
			// The packet or the answer was lost, or the target does not react.
			r.answer = answerNone
		}
		switch {
		case r.answer == answerProbed:
			v.tried = append(v.tried, r)
		case r.answer == answerUnsure && c.present(now, r.agent):
			v.unsure = append(v.unsure, r)
		default:
			v.missing = append(v.missing, r)
		}
	}

	return v
}

// gone reports whether an agent's silence shows that it holds no flow. One that announced
// that its target had ended may be back beside a target that others know already, so its
// answer is awaited for one wave.
func (c *Core) gone(now time.Duration, s *search, r *reply) bool {
	if r.agent.ended && now-r.agent.stopping > lateTime {
		return now-max(r.at, s.since) >= farWaveTime
	}

	return c.lost(now, r.agent)
}

// present reports whether an agent that is unsure is probably still there, and will not
// know more in a moment.
func (c *Core) present(now time.Duration, a *agent) bool {
	if c.stops(now, a) || now < a.restoring || now-a.heard > acquaintedTime {
		return false
	}

	return a.asks == 0 || now-a.asked <= farWaveTime
}

// chase asks the missing agents again. One that is not heard gets one question for all
// searches at a time; once it is heard, each search asks it with the next tick.
func (c *Core) chase(now time.Duration, k segment.Key, s *search, v *views) {
	if c.questions.held {
		return
	}
	for _, r := range v.missing {
		wait := farWaveTime << min(r.rounds, maxDoublings)
		heard := r.agent.known && r.agent.heard > r.at
		if r.answer == answerNone && heard && now-max(r.at, s.since) >= wait {
			r.at = now
			r.rounds = min(r.rounds+1, maxDoublings)
			c.questions.add(r.addr, k)
			continue
		}
		c.ping(now, r, k)
	}
	for _, r := range v.unsure {
		if now-r.agent.heard >= renewTime {
			c.ping(now, r, k)
		}
	}
}

// ping asks an agent whether it is there, unless a question is under way.
func (c *Core) ping(now time.Duration, r *reply, k segment.Key) {
	if now-r.agent.lastAsk >= askAgain && c.questions.budget.take(now, messageBytes) {
		c.ask(now, r.addr, k)
	}
}

// notHeld resets a flow that no target holds.
func (c *Core) notHeld(now time.Duration, k segment.Key, s *search) {
	c.measure(MissTime, now-s.began)
	c.closeSearch(now, k, s, NotHeld, netip.AddrPort{})
	c.reset(k, s.ack)
}

// endSearch gives up a search that no caller waits for any more. The caller's next
// packet starts a new one.
func (c *Core) endSearch(now time.Duration, k segment.Key, s *search) {
	v := c.review(now, s)
	agent := netip.AddrPort{}
	for _, list := range [][]*reply{v.unsure, v.tried, v.missing} {
		if len(list) > 0 {
			agent = list[0].addr
		}
	}
	c.closeSearch(now, k, s, SearchOpen, agent)
}

// explain adds the state of a search to a note.
func (c *Core) explain(now time.Duration, s *search, n Note) Note {
	v := c.review(now, s)
	n.Asked = len(s.replies)
	n.Unsure = len(v.unsure) + len(v.tried)
	n.Unanswered = len(v.missing)
	n.Tried = s.trial.packets
	n.Count = n.Asked
	if n.Decision == SearchOpen {
		n.Count = n.Unsure + n.Unanswered
	}
	n.ListAge = c.listAge(now)

	return n
}
