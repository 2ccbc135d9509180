package agent

import (
	"time"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/packet"
)

const (
	heartbeatInterval = time.Second
	// heartbeatFanout is the number of peers that get a heartbeat per interval,
	// in rotation. A heartbeat has about 175 bytes, so four out and four in are
	// 1.4 KB/s and leave 0.6 KB/s of the control budget of 2 KB/s to the mesh.
	heartbeatFanout = 4
	// suspectAfter is how long a peer may be silent in a group whose peers all
	// get a heartbeat in each interval; see group.suspicionTimeout.
	suspectAfter = 3 * time.Second
	// suspectReportInterval is the time between reports of a peer that stays
	// silent. It is below the 10 minutes after which the mesh forgets a report.
	suspectReportInterval = 5 * time.Minute
)

// heartbeat sends this agent's load to the agents of its service. It also sends
// it to those of former services, because their answers tell whether they can
// take the flows that remain.
func (c *Core) heartbeat() {
	if c.group == nil || c.now < c.nextHeartbeat {
		return
	}
	c.nextHeartbeat = c.now + heartbeatInterval
	c.sendHeartbeats(c.group, c.group.heartbeatPeers())
	for _, g := range c.formerGroups {
		c.sendHeartbeats(g, g.heartbeatPeers())
	}
}

func (c *Core) sendHeartbeats(g *group, peers []*peer) {
	if !c.confirmed() {
		return
	}
	body := AppendLoad(nil, c.Load())
	for _, q := range peers {
		c.sendBody(q.peerInstance(), packet.Heartbeat, g.service, body)
	}
}

// receiveHeartbeat records a peer's load. The header's incarnation may be that
// of an earlier start of this agent, because the peer may not have heard of
// this one yet.
func (c *Core) receiveHeartbeat(h *packet.Tunnel, body []byte) {
	l, err := DecodeLoad(body)
	if err != nil {
		c.Counters.DroppedBody++
		return
	}
	if h.Target != c.target || l.Incarnation != h.SenderIncarnation {
		c.Counters.DroppedFence++
		return
	}

	if c.group != nil && h.Service == c.group.service {
		q := c.group.peer(l.Target)
		if q == nil {
			c.answerHeartbeat(h, l)
		}
		c.recordHeartbeat(q, h, l)
		c.limiter.SuggestServiceTime(admission.MedianServiceTime(c.group.loads()))
	}
	for _, g := range c.formerGroups {
		if g.service == h.Service {
			c.recordHeartbeat(g.peer(l.Target), h, l)
		}
	}
}

// answerHeartbeat sends this agent's load to an agent whose target has left the
// service and that still has flows of it.
func (c *Core) answerHeartbeat(h *packet.Tunnel, l Load) {
	if !c.confirmed() {
		return
	}
	c.sendBody(peerInstance{
		agent:       h.Sender,
		target:      l.Target,
		incarnation: l.Incarnation,
	}, packet.Heartbeat, h.Service, AppendLoad(nil, c.Load()))
}

// recordHeartbeat records a peer's incarnation and load, and reports a new or
// suspected peer as alive. Heartbeats of earlier starts are ignored; a new
// start ends the offers and handovers to the previous one.
func (c *Core) recordHeartbeat(q *peer, h *packet.Tunnel, l Load) {
	if q == nil || h.Sender != q.Agent || l.Incarnation < q.incarnation {
		return
	}

	old := q.incarnation
	q.incarnation = l.Incarnation
	q.heard = c.now
	q.load = l
	q.offeredSinceReport = 0
	q.ownFlowsAtReport = c.flows.len()
	if old != l.Incarnation || q.suspected {
		q.suspected = false
		c.emit(ReportAlive{
			Target:      q.Target,
			Incarnation: q.incarnation,
		})
	}
	if old != 0 && old != l.Incarnation {
		c.losePeer(q.Agent, old)
		c.abortHandovers(q.Agent, old)
	}
}

// checkPeers reports silent peers. While the view is unconfirmed it reports
// none, because this agent may be the one that was paused or cut off.
func (c *Core) checkPeers() {
	if c.group == nil || !c.confirmed() {
		return
	}
	for _, q := range c.group.peers {
		if c.now-q.heard <= c.group.suspicionTimeout() {
			continue
		}
		if q.suspected && c.now-q.reportedAt < suspectReportInterval {
			continue
		}
		q.suspected = true
		q.reportedAt = c.now
		c.emit(ReportSuspect{
			Target:      q.Target,
			Incarnation: q.incarnation,
		})
	}
}
