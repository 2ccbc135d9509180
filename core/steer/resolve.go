package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/segment"
)

const (
	// queuedWaveTimeout is waveTimeout for queries that wait for the next tick.
	queuedWaveTimeout = waveTimeout + TickTime
	// probeTimeout is how long the target's reaction to a probe is awaited. An agent whose
	// target does not bounce the packet reports so after 40 to 60 ms.
	probeTimeout = 80 * time.Millisecond
	// maxBackoffDoublings bounds the exponential backoff for agents that do not answer,
	// which lets a congested link recover.
	maxBackoffDoublings = 3
	// maxUnsureSilence bounds how long an unsure agent may be silent while a search waits
	// for others. After that it is queried to check whether it is still there.
	maxUnsureSilence = 120 * time.Millisecond
)

// replySets sorts the agents that may hold a flow and have not denied it. Agents that are
// presumed gone are in none of the lists.
type replySets struct {
	// missing did not answer, or have become unavailable since.
	missing []*reply
	// unsure are there and do not know.
	unsure []*reply
	// probed got a probe whose result is awaited.
	probed []*reply
}

// resolve decides a search in which all agents were queried. Probing begins only when every
// agent that may hold the flow is there: if three packets of a flow reach other targets and
// none reaches its own, the flow counts as misrouted, whichever entries sent them. For the
// same reason, probing that has begun goes on with the agents that are there. Agents that
// were added to the list since the last tick are queried first.
//
// A flow that no agent holds is reset only if the list is not older than the flow's packet: other
// entries may know targets that this one does not, and use them at once if all others are draining
// or full.
func (c *Core) resolve(now time.Duration, k segment.Key, s *search) {
	c.queryRemaining(now, k, s)
	v := c.classifyReplies(now, s)
	s.outstanding = len(v.missing) + len(v.probed)
	switch {
	case len(v.probed) > 0:
	case len(v.missing) > 0:
		if s.probing.packets > 0 && len(v.unsure) > 0 {
			c.probe(now, k, s, v.unsure)
		}
		c.releaseReserved(s)
		c.queryMissing(now, k, s, v)
	case len(v.unsure) > 0:
		c.probe(now, k, s, v.unsure)
	case !c.listState.proof.covers(s.began):
		c.requestConfirmation(now)
	case c.listCurrent(now):
		c.resetNotHeld(now, k, s)
	}
}

// classifyReplies sorts the replies of a search. The result is valid until the next call.
func (c *Core) classifyReplies(now time.Duration, s *search) *replySets {
	v := &c.replySets
	v.missing = v.missing[:0]
	v.unsure = v.unsure[:0]
	v.probed = v.probed[:0]
	for i := range s.replies {
		r := &s.replies[i]
		if r.answer == answerNotOwned || c.presumedGone(now, s, r) {
			continue
		}
		if r.answer == answerProbed && now-r.sentAt >= probeTimeout<<min(r.probeCount-1, maxBackoffDoublings) {
			// The probe or its answer was lost, or the target does not react.
			r.answer = answerNone
		}
		switch {
		case r.answer == answerProbed:
			v.probed = append(v.probed, r)
		case r.answer == answerUnsure && c.present(now, r.agent):
			v.unsure = append(v.unsure, r)
		default:
			v.missing = append(v.missing, r)
		}
	}

	return v
}

// presumedGone reports whether an agent that does not answer holds no flow. One that announced
// the end of its target may be back beside a new target that other entries already know: its
// answer is awaited for one wave, and longer unless its process is not there.
func (c *Core) presumedGone(now time.Duration, s *search, r *reply) bool {
	if r.agent.targetEnded && now-r.agent.stopAnnounced > maxMessageDelay {
		return now-max(r.sentAt, s.since) >= queuedWaveTimeout && r.agent.port.isClosed()
	}

	return c.gone(now, r.agent) != EvidenceNone
}

// present reports whether an unsure agent is probably still there and will not become sure
// shortly.
func (c *Core) present(now time.Duration, a *agent) bool {
	if c.inPlannedStop(now, a) || now < a.restoreUntil || now-a.heard > maxHeardAge {
		return false
	}

	return a.unanswered == 0 || now-a.firstQuery <= queuedWaveTimeout
}

// queryMissing queries the missing agents again. An agent that is not heard gets one query
// at a time for all searches; once it is heard, each search queries it with the next tick.
func (c *Core) queryMissing(now time.Duration, k segment.Key, s *search, v *replySets) {
	if c.queries.throttled {
		return
	}
	for _, r := range v.missing {
		wait := queuedWaveTimeout << min(r.retries, maxBackoffDoublings)
		heard := r.agent.everHeard && r.agent.heard > r.sentAt
		if r.answer == answerNone && heard && now-max(r.sentAt, s.since) >= wait {
			r.sentAt = now
			r.retries = min(r.retries+1, maxBackoffDoublings)
			c.queries.add(r.addr, k)
			continue
		}
		c.ping(now, r, k)
	}
	for _, r := range v.unsure {
		if now-r.agent.heard >= maxUnsureSilence {
			c.ping(now, r, k)
		}
	}
}

// ping queries an agent to check whether it is there, unless a query is already
// outstanding.
func (c *Core) ping(now time.Duration, r *reply, k segment.Key) {
	if now-r.agent.lastQuery >= queryRetryInterval && c.queries.tokenBucket.take(now, messageOverhead) {
		c.query(now, r.addr, k)
	}
}

// resetNotHeld resets a flow that no target holds.
func (c *Core) resetNotHeld(now time.Duration, k segment.Key, s *search) {
	c.measure(MissTime, now-s.began)
	c.closeSearch(now, k, s, NotHeld, netip.AddrPort{})
	c.reset(k, s.ack)
}

// abandonSearch ends a search for which no caller waits any more. The caller's next packet
// starts a new one.
func (c *Core) abandonSearch(now time.Duration, k segment.Key, s *search) {
	v := c.classifyReplies(now, s)
	agent := netip.AddrPort{}
	for _, list := range [][]*reply{v.unsure, v.probed, v.missing} {
		if len(list) > 0 {
			agent = list[0].addr
		}
	}
	c.closeSearch(now, k, s, SearchUnresolved, agent)
}

// addSearchState adds the state of a search to a note.
func (c *Core) addSearchState(now time.Duration, s *search, n Note) Note {
	v := c.classifyReplies(now, s)
	n.Asked = len(s.replies)
	n.Unsure = len(v.unsure) + len(v.probed)
	n.Unanswered = len(v.missing)
	n.Tried = s.probing.packets
	n.Count = n.Asked
	if n.Decision == SearchUnresolved {
		n.Count = n.Unsure + n.Unanswered
	}
	n.ListAge = c.listAge(now)

	return n
}
