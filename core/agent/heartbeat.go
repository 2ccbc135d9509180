package agent

import (
	"time"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/packet"
)

const (
	heartbeatInterval = time.Second
	// heartbeatsEach is the number of peers that hear of this agent in an interval,
	// in turn. A heartbeat has about 175 bytes, so four out and four in are 1.4 KB/s
	// and leave 0.6 KB/s of the control budget of 2 KB/s to the mesh.
	heartbeatsEach = 4
	// suspectAfter is how long a peer may be silent in groups that fit in one
	// interval; see group.patience.
	suspectAfter = 3 * time.Second
	// suspectRepeat is the time between reports of a peer that stays silent; the
	// mesh forgets rumours after 10 minutes.
	suspectRepeat = 5 * time.Minute
)

// heartbeat tells the own load to the agents of the service.
func (c *Core) heartbeat() {
	if c.group == nil || c.now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = c.now + heartbeatInterval
	c.sendHeartbeats(c.group.turn())
}

func (c *Core) sendHeartbeats(peers []*peer) {
	if !c.confirmed() {
		return
	}
	body := AppendLoad(nil, c.Load())
	for _, q := range peers {
		c.send(SendTunnel{
			To: q.Agent,
			Header: packet.Tunnel{
				Kind:        packet.Heartbeat,
				Service:     c.group.service,
				Target:      q.Target,
				Incarnation: q.incarnation,
			},
			Body: body,
		})
	}
}

// heartbeatFrom takes over a peer's load. The header's incarnation may be that
// of an earlier start of this agent, because the peer may not have heard of
// this one yet.
func (c *Core) heartbeatFrom(h *packet.Tunnel, body []byte) {
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
		c.hear(c.group.peer(l.Target), h, l)
		c.limiter.Suggest(admission.Median(c.group.loads()))
	}
	for _, g := range c.former {
		if g.service == h.Service {
			c.hear(g.peer(l.Target), h, l)
		}
	}
}

// hear notes a sign of life of a peer. Packets of earlier starts are ignored.
func (c *Core) hear(q *peer, h *packet.Tunnel, l Load) {
	if q == nil || h.Sender != q.Agent || l.Incarnation < q.incarnation {
		return
	}

	old := q.incarnation
	q.incarnation = l.Incarnation
	q.heard = c.now
	q.load = l
	q.moved = 0
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

// checkPeers reports silent peers. While the own view is unconfirmed it may be
// this agent that was paused or cut off.
func (c *Core) checkPeers() {
	if c.group == nil || !c.confirmed() {
		return
	}
	for _, q := range c.group.peers {
		if c.now-q.heard <= c.group.patience() {
			continue
		}
		if q.suspected && c.now-q.reported < suspectRepeat {
			continue
		}
		q.suspected = true
		q.reported = c.now
		c.emit(ReportSuspect{
			Target:      q.Target,
			Incarnation: q.incarnation,
		})
	}
}
