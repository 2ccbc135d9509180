package steer

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// queryDelay is the time without any message from an agent after which it is queried,
	// counted from the first packet that was sent to it in that time.
	queryDelay = 60 * time.Millisecond
	// queryRetryInterval is the time between two queries to an agent that does not answer.
	queryRetryInterval = 40 * time.Millisecond
	// minUnansweredQueries is the number of successive queries that an agent has to leave
	// unanswered to count as failed. At a datagram loss of 1% a live agent does so once in
	// 300 million times.
	minUnansweredQueries = 5
	// maxHeardAge is the maximum age of an agent's last message at which its process is
	// assumed not to have been replaced since.
	maxHeardAge = time.Second
	// linkCheckQueries is the number of other agents that a tick queries to check whether
	// this entry's own link works.
	linkCheckQueries = 2
	// maxMessageDelay is the time within which a message may arrive after one that was sent
	// later. Datagrams may be delayed by 200 ms.
	maxMessageDelay = 250 * time.Millisecond
	// resendAfter is how long an agent has to leave a query unanswered before the packets
	// that were sent to it in that time count as possibly lost. They are sent again once
	// the agent is heard. It exceeds the round trip to another zone.
	resendAfter = 40 * time.Millisecond
	// silentQueryInterval is the time between two queries to an agent that has an
	// unanswered query. Without them an entry could end flows long after the agent is back.
	silentQueryInterval = 300 * time.Millisecond
	// maxUnacknowledged bounds the packets that are kept for one agent: at most those that
	// its callers send within a second.
	maxUnacknowledged = 128
)

// agent is what an entry knows of an agent and of the target beside it.
type agent struct {
	// everHeard means that at least one message of the agent arrived, the last one at
	// heard.
	everHeard bool
	heard     time.Duration
	processes processes
	// firstQuery is when the first query was sent that has no answer yet, lastQuery when
	// the last query was sent, and unanswered the number of queries from firstQuery on.
	firstQuery time.Duration
	lastQuery  time.Duration
	unanswered int
	// stopAnnounced is when the last message came that shows that the agent's current process
	// has announced its stop; zero if none did.
	stopAnnounced time.Duration
	// stopUnattributed means that this message does not tell which process sent it.
	stopUnattributed bool
	// targetEnded means that the agent announced its stop with the reason that its target
	// had ended, and that no other target was listed at its address since.
	targetEnded bool
	silent      bool
	// goneBy is the evidence on which the agent's flows were reset since it was last heard.
	goneBy Evidence
	port   portCheck
	// lost holds the flows that were reset since the agent was last heard.
	lost lostFlows
	// restoreUntil is until when the agent, back from a planned stop, may still receive its
	// flow table: see awaitTable.
	restoreUntil time.Duration
	// awaiting means that a packet was sent to the agent since it was last heard.
	// awaitingKey is the flow of the first such packet, awaitingSince when it was sent.
	awaitingKey   segment.Key
	awaitingSince time.Duration
	awaiting      bool
	// unacknowledged holds copies of the packets that were sent to the agent since it was
	// last heard: see resend.
	unacknowledged []sentPacket
	// leaving means that the target beside the agent is draining or has left the list.
	leaving bool
	// load and flows are those of the agent's last report; opened counts the flows that
	// were placed at its target since.
	load     float64
	flows    int
	unstable bool
	opened   int
	// spreadUntil is until when other entries may not know the target yet.
	spreadUntil time.Duration
	// avoidUntil is until when new flows avoid the target because the agent refused one.
	avoidUntil time.Duration
}

// sentPacket is a copy of a packet that may have to be sent again.
type sentPacket struct {
	key    segment.Key
	packet []byte
	at     time.Duration
}

func (c *Core) agent(a netip.AddrPort) *agent {
	x, ok := c.agents[a]
	if !ok {
		x = &agent{}
		c.agents[a] = x
		c.agentOrder = append(c.agentOrder, a)
	}

	return x
}

// query sends a query for a flow, which the agent answers at once.
func (c *Core) query(now time.Duration, to netip.AddrPort, k segment.Key) {
	c.recordQuery(now, c.agent(to))
	c.send(to, relay.Message{
		Kind: relay.Find,
		Key:  k,
	})
}

// recordQuery notes that a message was sent that the agent answers at once.
func (c *Core) recordQuery(now time.Duration, a *agent) {
	if a.unanswered == 0 {
		a.firstQuery = now
	}
	a.unanswered++
	a.lastQuery = now
}

// recordHeard updates the state of an agent from any of its messages. That of a former process tells
// nothing of a planned stop.
func (c *Core) recordHeard(now time.Duration, from netip.AddrPort, m *relay.Message) *agent {
	a := c.agent(from)
	process := a.processes.record(now, m.Process)
	if a.silent {
		c.note(now, Note{
			Decision: AgentBack,
			Agent:    from,
		})
	}
	c.noteLostFlows(now, from, a)
	c.resend(now, from, a, m.Kind)
	if !a.everHeard || now-a.heard >= c.MaxFlowAge {
		c.listState.generation++
	}
	a.everHeard = true
	a.heard = now
	c.lastHeard = now
	c.lastHeardFrom = from
	a.unanswered = 0
	a.silent = false
	a.goneBy = EvidenceNone
	a.port = portCheck{}
	if process == processNew || process != processFormer && a.stopUnattributed && now-a.stopAnnounced > maxMessageDelay {
		c.awaitTable(now, a)
		a.stopAnnounced = 0
		a.targetEnded = false
	}
	a.awaiting = false
	a.load = float64(m.Load) / 100
	a.flows = int(m.Flows)
	a.unstable = m.Unstable
	a.opened = 0
	if m.AnnouncesStop() && process != processFormer {
		c.recordStop(now, from, m, process)
	}

	return a
}

// gone returns the evidence that the agent can't serve its flows, and that planned work is
// not the cause. Silence alone is none: a process may get no processor time for longer than
// any callers wait, and its target still holds its flows.
func (c *Core) gone(now time.Duration, a *agent) Evidence {
	switch {
	case a.targetEnded:
		return TargetEnded
	case a.unanswered < minUnansweredQueries, now-a.firstQuery < c.Policy.SilentTime, c.inPlannedStop(now, a):
		return EvidenceNone
	}

	return a.port.evidence(now, c.Policy)
}

// isSilent reports whether the agent left so many queries unanswered for so long that it
// counts as silent, and planned work is not the cause.
func (c *Core) isSilent(now time.Duration, a *agent) bool {
	if a.unanswered < minUnansweredQueries || c.inPlannedStop(now, a) {
		return false
	}
	if now-c.lastHeard > c.Policy.HearingTime {
		return now-a.firstQuery >= c.Policy.StrangerTime
	}
	if !a.everHeard || a.firstQuery-a.heard > maxHeardAge {
		return now-a.firstQuery >= c.Policy.StrangerTime
	}

	return now-a.firstQuery >= c.Policy.SilentTime
}

// avoided reports whether new flows should avoid the agent's target.
func (c *Core) avoided(now time.Duration, a *agent) bool {
	return a.silent || c.inPlannedStop(now, a) || now < a.avoidUntil || a.unanswered > 1 && now-a.firstQuery >= c.Policy.SlowTime
}

// inPlannedStop reports whether the agent is unavailable after it announced its stop. The
// announcement expires, because an agent that is back sends nothing to an entry from which
// it gets nothing.
func (c *Core) inPlannedStop(now time.Duration, a *agent) bool {
	return a.stopAnnounced > 0 && now-a.stopAnnounced < c.Policy.StopTime
}

// checkLink queries a few other agents while an agent has an unanswered query and no agent
// at all is heard. Their answers distinguish a failure of that agent from a failure of this
// entry's link.
func (c *Core) checkLink(now time.Duration) {
	if now-c.lastHeard <= c.Policy.HearingTime/2 || len(c.listedOrder) == 0 {
		return
	}
	for _, addr := range c.agentOrder {
		if a := c.agents[addr]; !a.awaiting || a.unanswered == 0 {
			continue
		}
		for range linkCheckQueries {
			c.nextLinkCheck = (c.nextLinkCheck + 1) % len(c.listedOrder)
			c.query(now, c.listedOrder[c.nextLinkCheck], c.agents[addr].awaitingKey)
		}

		return
	}
}

// tickAgents repeats queries, checks the ports of agents that do not answer and resets the
// flows of agents that are gone.
func (c *Core) tickAgents(now time.Duration) {
	c.checkLink(now)
	for _, addr := range c.agentOrder {
		a := c.agents[addr]
		if c.queryDue(now, addr, a) {
			c.query(now, addr, a.awaitingKey)
		}
		c.checkPort(now, addr, a)
		if !a.awaiting || now-a.awaitingSince < queryDelay {
			continue
		}
		if e := c.gone(now, a); e != EvidenceNone {
			c.failAgent(now, addr, a, e)
			continue
		}
		if c.isSilent(now, a) {
			c.noteSilent(now, addr, a)
			continue
		}
		if a.unanswered == 0 || now-a.lastQuery >= queryRetryInterval {
			c.query(now, addr, a.awaitingKey)
		}
	}
}

// resend sends the packets again that an agent may have missed while its process was
// replaced. Callers would repeat them only after 200 ms or more. A packet that arrives
// twice does no more harm than a caller's own retransmission.
func (c *Core) resend(now time.Duration, to netip.AddrPort, a *agent, k relay.Kind) {
	if k != relay.Stopping && a.unanswered > 0 && now-a.firstQuery > resendAfter {
		for _, h := range a.unacknowledged {
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
		a.unacknowledged = a.unacknowledged[:0]
	}
}

// queryDue reports whether an agent with an unanswered query is to be queried again: its
// silence counts only as long as further queries go unanswered.
func (c *Core) queryDue(now time.Duration, addr netip.AddrPort, a *agent) bool {
	if a.unanswered == 0 || now-a.lastQuery < silentQueryInterval {
		return false
	}
	_, listed := c.listed[addr]

	return listed || now-a.firstQuery < c.MaxFlowAge
}

// recordSent keeps a copy of a packet that was sent to the agent.
func (a *agent) recordSent(now time.Duration, k segment.Key, packet []byte) {
	if len(a.unacknowledged) == maxUnacknowledged {
		a.dropOldest(maxUnacknowledged / 2)
	}
	n := len(a.unacknowledged)
	if n < cap(a.unacknowledged) {
		a.unacknowledged = a.unacknowledged[:n+1]
	} else {
		a.unacknowledged = append(a.unacknowledged, sentPacket{})
	}
	h := &a.unacknowledged[n]
	h.key = k
	h.at = now
	h.packet = append(h.packet[:0], packet...)
	a.expectReply(now, k)
}

// dropOldest discards the n oldest packets. It moves them behind the others, so that their
// buffers are reused.
func (a *agent) dropOldest(n int) {
	slices.Reverse(a.unacknowledged[:n])
	slices.Reverse(a.unacknowledged[n:])
	slices.Reverse(a.unacknowledged)
	a.unacknowledged = a.unacknowledged[:len(a.unacknowledged)-n]
}

// expectReply notes that a message was sent to the agent that normally causes a reply.
// Without a reply the agent is queried, because a missing reply may be the fault of its
// target alone.
func (a *agent) expectReply(now time.Duration, k segment.Key) {
	if a.awaiting {
		return
	}
	a.awaiting = true
	a.awaitingSince = now
	a.awaitingKey = k
}

// noteSilent logs that an agent is silent. It is queried less often from then on.
func (c *Core) noteSilent(now time.Duration, addr netip.AddrPort, a *agent) {
	if a.silent {
		return
	}
	a.silent = true
	c.note(now, Note{
		Decision: AgentSilent,
		Agent:    addr,
		Count:    a.unanswered,
	})
}

// failAgent resets all flows of an agent that is gone, including idle ones. The caller of an idle
// flow then opens another one for its next request, which it may be unable to repeat.
func (c *Core) failAgent(now time.Duration, addr netip.AddrPort, a *agent, e Evidence) {
	a.awaiting = false
	a.unacknowledged = a.unacknowledged[:0]
	a.goneBy = e
	c.noteSilent(now, addr, a)
	for _, k := range segment.SortedKeys(c.flows) {
		if f := c.flows[k]; f.owner == addr {
			c.endFlow(now, k, f.ack, addr, e)
		}
	}
}

// endFlow resets a flow whose agent is gone, so that its caller opens another one.
func (c *Core) endFlow(now time.Duration, k segment.Key, seq uint32, addr netip.AddrPort, e Evidence) {
	a := c.agent(addr)
	a.lost.add(now, e)
	delete(c.flows, k)
	delete(c.opening, k)
	c.note(now, Note{
		Decision: OwnerGone,
		Key:      k,
		Agent:    addr,
		Count:    a.unanswered,
		Evidence: e,
	})
	c.reset(k, seq)
}

func (c *Core) handleAgentMessage(now time.Duration, m *AgentMessage) {
	if c.handleTable(now, m) {
		return
	}
	a := c.recordHeard(now, m.From, &m.Message)
	k := m.Message.Key
	switch m.Message.Kind {
	case relay.Accepted:
		c.accepted(now, k, m.From)
	case relay.Owned, relay.NotOwned, relay.Unsure:
		c.handleAnswer(now, k, m.From, m.Message.Kind)
	case relay.Answers:
		for i, k := range m.Message.Keys {
			c.handleAnswer(now, k, m.From, m.Message.Ownership[i])
		}
	case relay.Returned:
		c.returned(now, m, a)
	}
}

// handleAnswer handles what an agent answered about a flow.
func (c *Core) handleAnswer(now time.Duration, k segment.Key, from netip.AddrPort, x relay.Kind) {
	switch x {
	case relay.Owned:
		c.ownerFound(now, k, from)
	case relay.NotOwned:
		c.recordAnswer(now, k, from, answerNotOwned)
	case relay.Unsure:
		c.recordAnswer(now, k, from, answerUnsure)
	}
}
