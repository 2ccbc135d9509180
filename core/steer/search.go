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
	// farWaveTime is the same for questions that wait for the next tick.
	farWaveTime = waveTime + TickTime
	// searchTime is how long a search asks agents again that do not answer: long
	// enough for one whose process is replaced, and about the time that callers have.
	searchTime = time.Second
	// maxDoublings bounds the growth of the waits for agents that do not answer, so
	// that a full link gets a chance to become free.
	maxDoublings = 3
	// maxHeld bounds the packets that wait for the end of a search.
	maxHeld = 4
	// probeWait is the time until a search that found the bound reached asks again:
	// agents are sure once their target's new entry is known.
	probeWait = 200 * time.Millisecond
)

// answer is what an agent said in a search.
type answer uint8

const (
	answerNone answer = iota
	answerNo
	answerUnsure
	answerProbed
)

// stage is how far a search has come. In each stage agents are asked first, then
// the packet is passed to those that are unsure.
type stage uint8

const (
	// stagePreferred asks the agents of the targets that the flow's hash prefers:
	// new flows are placed there unless the load forbids it.
	stagePreferred stage = iota
	// stageNear asks the other agents of the route's services in this zone.
	stageNear
	// stageAll asks all other agents.
	stageAll
	stageEnd
)

// search looks for the agent that owns a flow.
type search struct {
	stage stage
	// probing means that the stage has come to unsure agents, paused that the
	// bound on packets for them was reached.
	probing bool
	paused  bool
	// rounds is the number of times that agents were asked again.
	rounds int
	// began is when the search began, since when the stage did.
	began   time.Duration
	since   time.Duration
	asked   map[netip.AddrPort]answer
	order   []netip.AddrPort
	waiting int
	// held are copies of the caller's packets, the oldest first.
	held [][]byte
	ack  uint32
}

// miss handles a packet of a flow that is not known here.
func (c *Core) miss(now time.Duration, m *CallerPacket) {
	if m.Segment.Flags.Has(segment.RST) {
		return
	}
	k := m.Segment.Key
	s, ok := c.searches[k]
	if !ok {
		s = &search{
			stage: stagePreferred,
			began: now,
			since: now,
			asked: map[netip.AddrPort]answer{},
		}
		c.searches[k] = s
		c.note(now, Note{
			Decision: SearchStarted,
			Key:      k,
		})
	}
	s.ack = m.Segment.Ack
	if len(s.held) < maxHeld {
		s.held = append(s.held, slices.Clone(m.Packet))
	}
	if !ok {
		c.askPreferred(now, k, s)
		c.advance(now, k, s)
	}
}

// answered notes what an agent said of a flow that is searched.
func (c *Core) answered(now time.Duration, k segment.Key, from netip.AddrPort, x answer) {
	s, ok := c.searches[k]
	if !ok {
		return
	}
	old, asked := s.asked[from]
	s.asked[from] = x
	if !asked {
		s.order = append(s.order, from)
	}
	if asked && (old == answerNone || old == answerProbed) {
		s.waiting = max(0, s.waiting-1)
	}
	c.advance(now, k, s)
}

// found ends a search and passes on the packets that waited.
func (c *Core) found(now time.Duration, k segment.Key, owner netip.AddrPort) {
	if f, ok := c.flows[k]; ok {
		if !f.owner.IsValid() {
			f.owner = owner
		}

		return
	}
	s, ok := c.searches[k]
	if !ok {
		return
	}
	c.measure(SearchTime, now-s.began)
	probed := s.asked[owner] == answerProbed
	delete(c.searches, k)
	delete(c.strays, k)
	c.remember(now, k, owner)
	c.note(now, Note{
		Decision: SearchFound,
		Key:      k,
		Agent:    owner,
		Count:    len(s.asked),
	})
	for i, p := range s.held {
		// A probe carried the first packet already.
		if i == 0 && probed {
			continue
		}
		c.send(owner, relay.Message{
			Kind:   relay.Deliver,
			Key:    k,
			Packet: p,
		})
	}
}

// advance goes on with the search if no answer is awaited.
func (c *Core) advance(now time.Duration, k segment.Key, s *search) {
	for s.waiting <= 0 && s.stage < stageEnd && !s.paused {
		s.since = now
		s.waiting = 0
		if !s.probing {
			s.probing = true
			c.probeUnsure(now, k, s)
			continue
		}
		s.probing = false
		s.stage++
		switch s.stage {
		case stageNear:
			c.askNear(now, k, s)
		case stageAll:
			c.askAll(now, k, s)
		case stageEnd:
			c.endSearch(now, k, s)
		}
	}
}

// unanswered returns the agents that may own the flow and did not answer.
func (c *Core) unanswered(now time.Duration, s *search) []netip.AddrPort {
	list := []netip.AddrPort{}
	for _, addr := range s.order {
		if s.asked[addr] != answerNone {
			continue
		}
		if _, listed := c.listed[addr]; listed && !c.lost(now, c.agent(addr)) {
			list = append(list, addr)
		}
	}

	return list
}

// endSearch resets the flow if no target can hold it. Otherwise the caller's
// next copy starts a new search.
func (c *Core) endSearch(now time.Duration, k segment.Key, s *search) {
	open := c.unanswered(now, s)
	if len(open) > 0 && now-s.began < searchTime {
		c.askAgain(k, s, open)

		return
	}
	delete(c.searches, k)
	for _, addr := range s.order {
		if x := s.asked[addr]; x == answerProbed || x == answerUnsure {
			open = append(open, addr)
		}
	}
	if len(open) > 0 {
		c.note(now, Note{
			Decision: SearchOpen,
			Key:      k,
			Agent:    open[0],
			Count:    len(open),
		})

		return
	}
	delete(c.strays, k)
	c.measure(MissTime, now-s.began)
	c.note(now, Note{
		Decision: NotHeld,
		Key:      k,
		Count:    len(s.asked),
	})
	c.reset(k, s.ack)
}

// resume asks the unsure agents again after a wait, or gives the search up.
func (c *Core) resume(now time.Duration, k segment.Key, s *search) {
	if now-s.since < probeWait {
		return
	}
	s.since = now
	s.paused = false
	if now-s.began >= searchTime {
		s.stage = stageEnd
		c.endSearch(now, k, s)

		return
	}
	c.askAgain(k, s, append(c.nearFirst(s), c.unanswered(now, s)...))
}

func (s *search) waveTime() time.Duration {
	if s.stage != stageAll {
		return waveTime
	}

	return farWaveTime << min(s.rounds, maxDoublings)
}

// tickSearches ends the stages whose answers are overdue.
func (c *Core) tickSearches(now time.Duration) {
	for _, k := range segment.SortedKeys(c.searches) {
		s := c.searches[k]
		if s.paused {
			c.resume(now, k, s)
			continue
		}
		if c.questions.held {
			s.since = now
		}
		if now-s.since < s.waveTime() {
			continue
		}
		s.waiting = 0
		c.advance(now, k, s)
	}
}
