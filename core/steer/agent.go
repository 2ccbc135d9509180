package steer

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// askAfter is how long an agent may not be heard after a packet was passed on
	// to it before it is asked whether it is there.
	askAfter = 60 * time.Millisecond
	// askAgain is the time until a question is repeated.
	askAgain = 40 * time.Millisecond
	// silentAsks is the number of questions that it has to leave unanswered: where 1% of
	// the datagrams are lost, a living agent does so once in 300 million times.
	silentAsks = 5
	// acquaintedTime is how lately an agent has to be heard for its silence to mean
	// that its process was not replaced.
	acquaintedTime = time.Second
	// hearingAsks is the number of agents that are asked in a tick to see whether any
	// agent is heard.
	hearingAsks = 2
	// lateTime is how long after the announcement messages from before it may arrive.
	// It covers delays of 200 ms. A process that ended is started again after about 0.5 s,
	// 300 ms after an announcement that was that late: lateTime is halfway between.
	lateTime = 250 * time.Millisecond
	// awayTime is how long an agent leaves a question unanswered from which it may
	// have missed what was sent since. The way to another zone and back is shorter.
	awayTime = 40 * time.Millisecond
	// backTime is the time between two questions to an agent that owes an answer. A
	// belief that nothing renews would end flows long after the agent is back.
	backTime = 300 * time.Millisecond
	// maxUnheard bounds the packets that are kept for an agent: those that its
	// callers send within a second at most.
	maxUnheard = 128
)

// agent is what an entry knows of an agent and of the target beside it.
type agent struct {
	// known means that the agent was heard at least once, last at heard.
	known bool
	heard time.Duration
	// asked is when the first question was sent that has no answer yet, asks the
	// number of questions since.
	asked   time.Duration
	lastAsk time.Duration
	asks    int
	// stopping is when the agent announced its stop; zero if it did not.
	stopping time.Duration
	// ended means that the target beside it had ended when the agent announced its stop,
	// and that no other target was listed at its address since.
	ended  bool
	silent bool
	// restoring is until when the agent, which is back from a planned stop, may still get
	// its flow table: see awaitTable.
	restoring time.Duration
	// pending is the flow of the first packet that was passed on since the agent
	// was heard, at since; waits is false if there is none.
	pending segment.Key
	since   time.Duration
	waits   bool
	// unheard holds copies of the packets that were passed on since the agent was
	// heard, for an agent that was away: see resend.
	unheard []heldPacket
	// leaving means that the target beside it is draining or has left the list.
	leaving bool
	// load and flows are the agent's last report; opened counts the flows that
	// were placed here since.
	load     float64
	flows    int
	unstable bool
	opened   int
	// spread is until when other entries may not know the target yet.
	spread time.Duration
	// avoid is until when new flows go elsewhere because the agent refused one.
	avoid time.Duration
}

// heldPacket is a packet that may have to be sent again.
type heldPacket struct {
	key    segment.Key
	packet []byte
	at     time.Duration
}

func (c *Core) agent(a netip.AddrPort) *agent {
	x, ok := c.agents[a]
	if !ok {
		x = &agent{}
		c.agents[a] = x
		c.order = append(c.order, a)
	}

	return x
}

// ask sends a question that the agent answers at once.
func (c *Core) ask(now time.Duration, to netip.AddrPort, k segment.Key) {
	c.asking(now, c.agent(to))
	c.send(to, relay.Message{
		Kind: relay.Find,
		Key:  k,
		Born: c.bornOf(to),
	})
}

// bornOf returns when the target beside an agent started, if it is known.
func (c *Core) bornOf(a netip.AddrPort) int64 {
	if t, ok := c.listed[a]; ok {
		return t.Born
	}
	if t, ok := c.evidence.departed[a]; ok {
		return t.Born
	}

	return 0
}

// asking notes that the agent was sent something that it answers.
func (c *Core) asking(now time.Duration, a *agent) {
	if a.asks == 0 {
		a.asked = now
	}
	a.asks++
	a.lastAsk = now
}

// hear notes any message of an agent.
func (c *Core) hear(now time.Duration, from netip.AddrPort, m *relay.Message) *agent {
	a := c.agent(from)
	if a.silent {
		c.note(now, Note{
			Decision: AgentBack,
			Agent:    from,
		})
	}
	c.resend(now, from, a, m.Kind)
	if !a.known || now-a.heard >= c.MaxFlowAge {
		c.evidence.generation++
	}
	a.known = true
	a.heard = now
	c.lastHeard = now
	a.asks = 0
	a.silent = false
	if now-a.stopping > lateTime {
		c.awaitTable(now, a)
		a.stopping = 0
		a.ended = false
	}
	a.waits = false
	a.load = float64(m.Load) / 100
	a.flows = int(m.Flows)
	a.unstable = m.Unstable
	a.opened = 0

	return a
}

// lost reports whether the agent's silence shows that it can't serve its flows
// without planned work being the cause.
func (c *Core) lost(now time.Duration, a *agent) bool {
	if a.ended {
		return true
	}
	if a.asks < silentAsks || c.stops(now, a) {
		return false
	}
	if now-c.lastHeard > c.Policy.HearingTime {
		return now-a.asked >= c.Policy.StrangerTime
	}
	if !a.known || a.asked-a.heard > acquaintedTime {
		return now-a.asked >= c.Policy.StrangerTime
	}

	return now-a.asked >= c.Policy.SilentTime
}

// slow reports whether new flows should avoid the agent.
func (c *Core) slow(now time.Duration, a *agent) bool {
	return a.silent || c.stops(now, a) || now < a.avoid || a.asks > 1 && now-a.asked >= c.Policy.SlowTime
}

// stops reports whether the agent is away as it announced. One that came back has
// nothing to tell an entry from which it gets nothing.
func (c *Core) stops(now time.Duration, a *agent) bool {
	return a.stopping > 0 && now-a.stopping < c.Policy.StopTime
}

// checkHearing asks a few other agents while one owes an answer and none is heard:
// whether they answer tells the silence of that agent from a loss of this entry's link.
func (c *Core) checkHearing(now time.Duration) {
	if now-c.lastHeard <= c.Policy.HearingTime/2 || len(c.listing) == 0 {
		return
	}
	for _, addr := range c.order {
		if a := c.agents[addr]; !a.waits || a.asks == 0 {
			continue
		}
		for range hearingAsks {
			c.nextHearing = (c.nextHearing + 1) % len(c.listing)
			c.ask(now, c.listing[c.nextHearing], c.agents[addr].pending)
		}

		return
	}
}

// tickAgents repeats questions, and resets the flows of agents that are lost.
func (c *Core) tickAgents(now time.Duration) {
	c.checkHearing(now)
	for _, addr := range c.order {
		a := c.agents[addr]
		if c.renews(now, addr, a) {
			c.ask(now, addr, a.pending)
		}
		if !a.waits || now-a.since < askAfter {
			continue
		}
		if c.lost(now, a) {
			c.lose(now, addr, a)
			continue
		}
		if a.asks == 0 || now-a.lastAsk >= askAgain {
			c.ask(now, addr, a.pending)
		}
	}
}

// resend sends the packets again that an agent may have missed while its
// process was replaced: callers would repeat them only after 200 ms and more.
// A packet that arrives twice is as harmless as a caller's own copy.
func (c *Core) resend(now time.Duration, to netip.AddrPort, a *agent, k relay.Kind) {
	if k != relay.Stopping && a.asks > 0 && now-a.asked > awayTime {
		for _, h := range a.unheard {
			if now-h.at > c.Policy.ResendTime {
				continue
			}
			c.send(to, relay.Message{
				Kind:   relay.Deliver,
				Key:    h.key,
				Packet: h.packet,
			})
		}
	}
	if k != relay.Stopping {
		a.unheard = a.unheard[:0]
	}
}

// renews reports whether an agent that owes an answer is to be asked again:
// silence that nothing confirms says nothing later.
func (c *Core) renews(now time.Duration, addr netip.AddrPort, a *agent) bool {
	if a.asks == 0 || now-a.lastAsk < backTime {
		return false
	}
	_, listed := c.listed[addr]

	return listed || now-a.asked < c.MaxFlowAge
}

// passed notes a packet that was passed on to the agent.
func (a *agent) passed(now time.Duration, k segment.Key, packet []byte) {
	if len(a.unheard) == maxUnheard {
		a.forgetOldest(maxUnheard / 2)
	}
	n := len(a.unheard)
	if n < cap(a.unheard) {
		a.unheard = a.unheard[:n+1]
	} else {
		a.unheard = append(a.unheard, heldPacket{})
	}
	h := &a.unheard[n]
	h.key = k
	h.at = now
	h.packet = append(h.packet[:0], packet...)
	a.await(now, k)
}

// forgetOldest moves the n oldest packets behind the others, so that their
// buffers are used again.
func (a *agent) forgetOldest(n int) {
	slices.Reverse(a.unheard[:n])
	slices.Reverse(a.unheard[n:])
	slices.Reverse(a.unheard)
	a.unheard = a.unheard[:len(a.unheard)-n]
}

// await notes that something was sent to the agent that shows whether it is
// there. If nothing comes back, it is asked: silence after a packet alone may be
// its target's.
func (a *agent) await(now time.Duration, k segment.Key) {
	if a.waits {
		return
	}
	a.waits = true
	a.since = now
	a.pending = k
}

// lose resets all flows of an agent that is lost. A caller whose flow is idle
// then opens another one for its next request, which it may be unable to repeat.
func (c *Core) lose(now time.Duration, addr netip.AddrPort, a *agent) {
	a.waits = false
	a.unheard = a.unheard[:0]
	if !a.silent {
		a.silent = true
		c.note(now, Note{
			Decision: AgentSilent,
			Agent:    addr,
			Count:    a.asks,
		})
	}
	for _, k := range segment.SortedKeys(c.flows) {
		if f := c.flows[k]; f.owner == addr {
			c.endFlow(now, k, f.ack, addr)
		}
	}
}

// endFlow resets a flow whose agent is gone, so that its caller opens another one.
func (c *Core) endFlow(now time.Duration, k segment.Key, seq uint32, addr netip.AddrPort) {
	delete(c.flows, k)
	delete(c.opening, k)
	c.note(now, Note{
		Decision: OwnerGone,
		Key:      k,
		Agent:    addr,
	})
	c.reset(k, seq)
}

func (c *Core) agentMessage(now time.Duration, m *AgentMessage) {
	if c.handover(now, m) {
		return
	}
	a := c.hear(now, m.From, &m.Message)
	k := m.Message.Key
	switch m.Message.Kind {
	case relay.Accepted:
		c.accepted(now, k, m.From)
	case relay.Owned, relay.NotOwned, relay.Unsure:
		c.told(now, k, m.From, m.Message.Kind)
	case relay.Answers:
		for i, k := range m.Message.Keys {
			c.told(now, k, m.From, m.Message.Found[i])
		}
	case relay.Returned:
		c.returned(now, m, a)
	case relay.Stopping:
		a.stopping = max(now, 1)
		a.ended = a.ended || m.Message.Reason == relay.ReasonTargetDown
		c.note(now, Note{
			Decision: AgentStopping,
			Agent:    m.From,
		})
	}
}

// told notes what an agent says of a flow.
func (c *Core) told(now time.Duration, k segment.Key, from netip.AddrPort, x relay.Kind) {
	switch x {
	case relay.Owned:
		c.found(now, k, from)
	case relay.NotOwned:
		c.answered(now, k, from, answerNo)
	case relay.Unsure:
		c.answered(now, k, from, answerUnsure)
	}
}
