package steer

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// waveTime is how long answers to one wave of questions are awaited. It covers
	// the way to another zone and back.
	waveTime = 40 * time.Millisecond
	// searchTime is how long a search goes on after the last packet of its flow: about
	// the time that callers have. Each copy that a caller sends prolongs it.
	searchTime = time.Second
	// maxHeld bounds the packets that wait for the end of a search.
	maxHeld = 4
	// maxSearches bounds the searches, and with their packets and answers the memory
	// that they take to about 40 MB before 60 agents. A caller whose packet is dropped sends
	// a copy.
	maxSearches = 4096
)

// answer is what an agent said in a search.
type answer uint8

const (
	answerNone answer = iota
	answerNo
	answerUnsure
	answerProbed
)

// reply is what is known of one agent in a search.
type reply struct {
	addr   netip.AddrPort
	agent  *agent
	answer answer
	// at is when the question was sent, or the packet on trial.
	at time.Duration
	// rounds is the number of times that the agent was asked again, tries the number
	// of packets that it got on trial.
	rounds uint8
	tries  uint8
	// preferred means that the flow's hash prefers the agent's target.
	preferred bool
}

// stage is how far a search has come.
type stage uint8

const (
	// stagePreferred asks the agents of the targets that the flow's hash prefers:
	// new flows are placed there unless the load forbids it.
	stagePreferred stage = iota
	// stageNear asks the other agents of the route's services in this zone.
	stageNear
	// stageAll asks all other agents, and goes on until each of them has answered.
	stageAll
)

// search looks for the agent that owns a flow.
type search struct {
	stage stage
	// began is when the search began, since when the stage did, or when questions last
	// waited for their share of the link.
	began time.Duration
	since time.Duration
	// asked maps the agents to their places in replies.
	asked   map[netip.AddrPort]int
	replies []reply
	// generation is that of the agents that may hold flows when all were asked.
	generation int
	// waiting is the number of answers without which the search can't go on.
	waiting int
	// unsure means that some agent was unsure.
	unsure bool
	trial  trial
	// held are copies of the caller's packets, the oldest first, never empty; last is
	// when the last of them came, or when this process was late for the first time since.
	held []waitingPacket
	last time.Duration
	// prolonged means that last is not when a packet came.
	prolonged bool
	ack       uint32
}

// waitingPacket is a packet that waits for the end of a search.
type waitingPacket struct {
	packet []byte
	at     time.Duration
	// tried means that it was on trial.
	tried bool
}

// miss handles a packet of a flow that is not known here.
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
			began: now,
			since: now,
			asked: map[netip.AddrPort]int{},
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
		c.askPreferred(now, k, s)
		c.advance(now, k, s)
	}
}

// hold keeps a packet. Callers no longer wait for an answer to those that are older
// than searchTime.
func (s *search) hold(now time.Duration, packet []byte) {
	s.last = now
	s.prolonged = false
	s.held = slices.DeleteFunc(s.held, func(h waitingPacket) bool {
		return now-h.at > searchTime
	})
	if len(s.held) < maxHeld {
		s.held = append(s.held, waitingPacket{
			packet: slices.Clone(packet),
			at:     now,
		})
	}
}

// answered notes what an agent said of a flow that is searched.
func (c *Core) answered(now time.Duration, k segment.Key, from netip.AddrPort, x answer) {
	s, ok := c.searches[k]
	if !ok {
		return
	}
	i, asked := s.asked[from]
	if !asked {
		i = c.enlist(s, from)
	}
	r := &s.replies[i]
	if x == answerUnsure && (r.answer == answerProbed || r.answer == answerNo && r.tries > 0) {
		// It was told before the packet on trial arrived, or came twice: the target's
		// reaction says more.
		return
	}
	if asked && (r.answer == answerNone || r.answer == answerProbed) {
		s.waiting = max(0, s.waiting-1)
	}
	r.answer = x
	s.unsure = s.unsure || x == answerUnsure
	c.advance(now, k, s)
}

// found ends a search and passes on the packets that waited.
func (c *Core) found(now time.Duration, k segment.Key, owner netip.AddrPort) {
	if f, ok := c.flows[k]; ok {
		if !f.owner.IsValid() && (now >= f.distrust || slices.Contains(f.tried, owner)) {
			f.owner = owner
		}

		return
	}
	s, ok := c.searches[k]
	if !ok {
		return
	}
	c.measure(SearchTime, now-s.began)
	i, asked := s.asked[owner]
	probed := asked && s.replies[i].answer == answerProbed
	c.closeSearch(now, k, s, SearchFound, owner)
	c.remember(now, k, owner)
	for _, h := range s.held {
		if h.tried && probed || now-h.at > searchTime {
			continue
		}
		c.send(owner, relay.Message{
			Kind:   relay.Deliver,
			Key:    k,
			Packet: h.packet,
		})
	}
}

// closeSearch ends a search and notes what decided.
func (c *Core) closeSearch(now time.Duration, k segment.Key, s *search, d Decision, agent netip.AddrPort) {
	delete(c.searches, k)
	c.release(s)
	c.note(now, c.explain(now, s, Note{
		Decision: d,
		Key:      k,
		Agent:    agent,
	}))
}

// replaceSearch ends the search for the flow that had the key of a new one: its end would
// be taken for that of the new flow.
func (c *Core) replaceSearch(now time.Duration, k segment.Key, f *flow) {
	if s, ok := c.searches[k]; ok {
		c.closeSearch(now, k, s, SearchReplaced, netip.AddrPort{})
		f.distrust = now + searchTime
	}
}

// advance goes on with the search if no answer is awaited. Where an agent is unsure all
// others have to answer, so they are asked at once.
func (c *Core) advance(now time.Duration, k segment.Key, s *search) {
	for s.waiting <= 0 && s.stage < stageAll {
		s.since = now
		s.waiting = 0
		if s.stage == stagePreferred && !s.unsure {
			s.stage = stageNear
			c.askNear(now, k, s)
			continue
		}
		s.stage = stageAll
		c.askNew(now, k, s)
	}
	if s.waiting <= 0 {
		c.settle(now, k, s)
	}
}

// tickSearches ends the stages whose answers are overdue, and the searches that no
// caller waits for any more.
func (c *Core) tickSearches(now time.Duration) {
	for _, k := range segment.SortedKeys(c.searches) {
		s := c.searches[k]
		if now-s.last >= searchTime {
			c.endSearch(now, k, s)
			continue
		}
		if c.questions.held {
			s.since = now
		}
		if s.stage == stageAll {
			c.settle(now, k, s)
			continue
		}
		if now-s.since >= waveTime {
			s.waiting = 0
			c.advance(now, k, s)
		}
	}
}

// forgive restarts the waits of a search after a pause of this process. It prolongs the
// search once for each packet of its caller: a process that stays behind would never end
// it otherwise.
func (s *search) forgive(now time.Duration) {
	s.since = now
	if !s.prolonged {
		s.prolonged = true
		s.last = now
	}
	for i := range s.replies {
		s.replies[i].at = now
	}
}
