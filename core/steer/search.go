package steer

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// waveTimeout is how long the answers to one wave of queries are awaited. It covers the
	// round trip to another zone.
	waveTimeout = 40 * time.Millisecond
	// searchTimeout is how long a search goes on after the last packet of its flow: about
	// as long as callers wait. Each copy that a caller sends extends it.
	searchTimeout = time.Second
	// maxHeldPackets bounds the packets that wait for the end of one search.
	maxHeldPackets = 4
	// maxSearches bounds the number of searches, and thereby the memory for them, their
	// packets and their answers, to about 40 MB with 60 agents. A caller whose packet is
	// dropped sends a copy.
	maxSearches = 4096
)

// answer is what is known of an agent's answer in a search.
type answer uint8

const (
	// answerNone means that an answer is awaited.
	answerNone answer = iota
	// answerNotOwned means that the agent's target does not hold the flow.
	answerNotOwned
	// answerUnsure means that the agent does not know whether its target holds the flow.
	answerUnsure
	// answerProbed means that the agent was unsure and got a probe, whose result is awaited.
	answerProbed
)

// reply is the state of one agent in a search.
type reply struct {
	addr   netip.AddrPort
	agent  *agent
	answer answer
	// sentAt is when the last query or probe was sent.
	sentAt time.Duration
	// retries is the number of times that the agent was queried again, probeCount the
	// number of probes that it got.
	retries    uint8
	probeCount uint8
	// preferred means that the flow's hash prefers the agent's target.
	preferred bool
}

// stage is the progress of a search.
type stage uint8

const (
	// stagePreferred queries the agents of the targets that the flow's hash prefers: new
	// flows are placed there unless these targets are too busy.
	stagePreferred stage = iota
	// stageLocal queries the other agents of the route's services in this zone.
	stageLocal
	// stageAll queries all other agents, and goes on until each of them has answered.
	stageAll
)

// search looks for the agent that owns a flow.
type search struct {
	stage stage
	// began is when the search began, since when its stage began, or when queries last
	// waited for their share of the link.
	began time.Duration
	since time.Duration
	// queried maps agents to their index in replies.
	queried map[netip.AddrPort]int
	replies []reply
	// generation is the generation of listState when all agents were queried.
	generation int
	// outstanding is the number of answers without which the search can't go on.
	outstanding int
	// anyUnsure means that at least one agent answered that it is unsure.
	anyUnsure bool
	probing   probing
	// held holds copies of the caller's packets, the oldest first, and is never empty.
	// lastPacket is when the last of them came, or when the timers were first restarted
	// after that.
	held       []searchPacket
	lastPacket time.Duration
	// extended means that lastPacket is a restart of the timers, not the arrival of a
	// packet.
	extended bool
	// ack is the sequence number that the caller acknowledged last, for a reset.
	ack uint32
}

// searchPacket is a packet that waits for the end of a search.
type searchPacket struct {
	packet []byte
	at     time.Duration
	// tried means that the packet was sent as a probe.
	tried bool
}

// miss handles a packet of a flow that this entry does not know.
func (c *Core) miss(now time.Duration, m *CallerPacket) {
	if m.Segment.Flags.Has(segment.RST) {
		return
	}
	k := m.Segment.Key
	s, ok := c.searches[k]
	if !ok {
		if len(c.searches) >= maxSearches {
			return
		}
		s = &search{
			began:   now,
			since:   now,
			queried: map[netip.AddrPort]int{},
		}
		c.searches[k] = s
		c.note(now, Note{
			Decision: SearchStarted,
			Key:      k,
		})
	}
	s.ack = m.Segment.Ack
	s.hold(now, m.Packet)
	if !ok {
		c.queryPreferred(now, k, s)
		c.advance(now, k, s)
	}
}

// hold keeps a packet and drops those older than searchTimeout, for whose answer no caller
// waits any more.
func (s *search) hold(now time.Duration, packet []byte) {
	s.lastPacket = now
	s.extended = false
	s.held = slices.DeleteFunc(s.held, func(h searchPacket) bool {
		return now-h.at > searchTimeout
	})
	if len(s.held) < maxHeldPackets {
		s.held = append(s.held, searchPacket{
			packet: slices.Clone(packet),
			at:     now,
		})
	}
}

// recordAnswer notes what an agent answered in a search.
func (c *Core) recordAnswer(now time.Duration, k segment.Key, from netip.AddrPort, x answer) {
	s, ok := c.searches[k]
	if !ok {
		return
	}
	i, queried := s.queried[from]
	if !queried {
		i = c.addReply(s, from)
	}
	r := &s.replies[i]
	if x == answerUnsure && (r.answer == answerProbed || r.answer == answerNotOwned && r.probeCount > 0) {
		// The answer was sent before the probe arrived, or is a duplicate: the target's
		// reaction to the probe takes precedence.
		return
	}
	if queried && (r.answer == answerNone || r.answer == answerProbed) {
		s.outstanding = max(0, s.outstanding-1)
	}
	r.answer = x
	s.anyUnsure = s.anyUnsure || x == answerUnsure
	c.advance(now, k, s)
}

// ownerFound sets the owner of a flow, ends the search for it and sends the packets that
// waited.
func (c *Core) ownerFound(now time.Duration, k segment.Key, owner netip.AddrPort) {
	if f, ok := c.flows[k]; ok {
		if !f.owner.IsValid() && (now >= f.distrustUntil || slices.Contains(f.tried, owner)) {
			f.owner = owner
		}

		return
	}
	s, ok := c.searches[k]
	if !ok {
		return
	}
	c.measure(SearchTime, now-s.began)
	i, queried := s.queried[owner]
	ownerProbed := queried && s.replies[i].answer == answerProbed
	// Probes that reached other targets after the owner's have to be followed by a packet that
	// reaches the owner: else those of the flow's next search add to them, however long the flow
	// is idle in between. See resolve.
	onlyOwnerTried := ownerProbed && s.probing.packets == 1
	c.closeSearch(now, k, s, SearchFound, owner)
	c.setOwner(now, k, owner)
	for _, h := range s.held {
		if h.tried && onlyOwnerTried || now-h.at > searchTimeout {
			continue
		}
		c.send(owner, relay.Message{
			Kind:   relay.Deliver,
			Key:    k,
			Packet: h.packet,
		})
	}
}

// closeSearch ends a search and logs the state on which the decision rests.
func (c *Core) closeSearch(now time.Duration, k segment.Key, s *search, d Decision, agent netip.AddrPort) {
	delete(c.searches, k)
	c.releaseReserved(s)
	c.note(now, c.addSearchState(now, s, Note{
		Decision: d,
		Key:      k,
		Agent:    agent,
	}))
}

// replaceSearch ends the search for an earlier flow with the key of a new one. Its result
// would be applied to the new flow.
func (c *Core) replaceSearch(now time.Duration, k segment.Key, f *flow) {
	if s, ok := c.searches[k]; ok {
		c.closeSearch(now, k, s, SearchReplaced, netip.AddrPort{})
		f.distrustUntil = now + searchTimeout
	}
}

// advance continues a search if no answer is outstanding. If an agent is unsure, all others
// have to answer, so all are queried at once.
func (c *Core) advance(now time.Duration, k segment.Key, s *search) {
	for s.outstanding <= 0 && s.stage < stageAll {
		s.since = now
		s.outstanding = 0
		if s.stage == stagePreferred && !s.anyUnsure {
			s.stage = stageLocal
			c.queryLocal(now, k, s)
			continue
		}
		s.stage = stageAll
		c.queryRemaining(now, k, s)
	}
	if s.outstanding <= 0 {
		c.resolve(now, k, s)
	}
}

// tickSearches ends stages whose answers are overdue, and searches for which no caller
// waits any more.
func (c *Core) tickSearches(now time.Duration) {
	for _, k := range segment.SortedKeys(c.searches) {
		s := c.searches[k]
		if now-s.lastPacket >= searchTimeout {
			c.abandonSearch(now, k, s)
			continue
		}
		if c.queries.throttled {
			s.since = now
		}
		if s.stage == stageAll {
			c.resolve(now, k, s)
			continue
		}
		if now-s.since >= waveTimeout {
			s.outstanding = 0
			c.advance(now, k, s)
		}
	}
}

// resolveSearches decides the searches that waited for nothing but a confirmation of the list.
func (c *Core) resolveSearches(now time.Duration) {
	for _, k := range segment.SortedKeys(c.searches) {
		if s := c.searches[k]; s.stage == stageAll && s.outstanding <= 0 {
			c.resolve(now, k, s)
		}
	}
}

// restartTimers restarts the timeouts of a search after a pause of this process. It extends
// the search only once per packet of the caller: otherwise a process whose sockets always
// have a backlog would never end it.
func (s *search) restartTimers(now time.Duration) {
	s.since = now
	if !s.extended {
		s.extended = true
		s.lastPacket = now
	}
	for i := range s.replies {
		s.replies[i].sentAt = now
	}
}
