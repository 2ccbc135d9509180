package agent

import (
	"time"

	"ibisfold.example/core/admission"
)

// group holds the other agents of one service and what this agent knows of
// them.
type group struct {
	service uint64
	// peers are sorted by Target.
	peers []*peer
	// lastHeartbeatPeer is the index in peers of the peer that got the last
	// heartbeat of the rotation.
	lastHeartbeatPeer int
}

// heartbeatPeers returns the peers that get the next heartbeat: all peers of a
// small group, else heartbeatFanout of them in rotation.
func (g *group) heartbeatPeers() []*peer {
	n := len(g.peers)
	if n <= heartbeatFanout {
		return g.peers
	}
	heartbeatPeers := make([]*peer, 0, heartbeatFanout)
	for range heartbeatFanout {
		g.lastHeartbeatPeer = (g.lastHeartbeatPeer + 1) % n
		heartbeatPeers = append(heartbeatPeers, g.peers[g.lastHeartbeatPeer])
	}

	return heartbeatPeers
}

// suspicionTimeout returns how long a peer may be silent before it is
// suspected: the time of three rounds of heartbeats.
func (g *group) suspicionTimeout() time.Duration {
	n := max(heartbeatFanout, len(g.peers))

	return suspectAfter * time.Duration(n) / heartbeatFanout
}

// peer is another agent of a group.
type peer struct {
	Peer
	load admission.Load
	// incarnation is the peer's latest known incarnation; zero if it was never
	// heard.
	incarnation uint64
	// heard is when the peer last sent anything, or when it was first listed.
	heard time.Duration
	// reportedAt is when the peer was last reported as suspect.
	reportedAt time.Duration
	suspected  bool
	// backoffUntil is when the peer may get flows again.
	backoffUntil time.Duration
	// offeredSinceReport is the number of offers in progress that were made since
	// the last load report.
	offeredSinceReport int
	// ownFlowsAtReport is the number of flows here at the time of the last load
	// report.
	ownFlowsAtReport int
}

// usable reports whether flows and requests may be moved to the peer.
func (q *peer) usable() bool {
	return q.incarnation != 0 && !q.suspected && !q.Draining && !q.load.Draining
}

// estimate returns the peer's load with the requests offered to it since its
// last report.
func (q *peer) estimate() admission.Load {
	l := q.load
	l.Target = q.Target
	l.Busy += float64(q.offeredSinceReport)
	l.Running += q.offeredSinceReport
	l.Slots = q.Slots

	return l
}

func (g *group) peer(target uint64) *peer {
	for _, q := range g.peers {
		if q.Target == target {
			return q
		}
	}

	return nil
}

// update replaces the list of peers. It keeps the state of a peer whose address
// has not changed.
func (g *group) update(now time.Duration, peers []Peer) {
	o := make([]*peer, 0, len(peers))
	for _, p := range peers {
		q := g.peer(p.Target)
		if q == nil || q.Agent != p.Agent {
			q = &peer{
				heard: now,
			}
		}
		q.Peer = p
		o = append(o, q)
	}
	g.peers = o
}

func (c *Core) groupOf(service uint64) *group {
	if c.group != nil && c.group.service == service {
		return c.group
	}
	for _, g := range c.formerGroups {
		if g.service == service {
			return g
		}
	}

	return nil
}

// peerOf finds a peer in any group.
func (c *Core) peerOf(target uint64) *peer {
	if c.group != nil {
		if q := c.group.peer(target); q != nil {
			return q
		}
	}
	for _, g := range c.formerGroups {
		if q := g.peer(target); q != nil {
			return q
		}
	}

	return nil
}

// candidates is reusable space for a choice among peers.
type candidates struct {
	peers []*peer
	loads []admission.Load
}

// collect stores the peers of g that use accepts and returns their estimated
// loads, in the same order.
func (s *candidates) collect(g *group, use func(*peer) bool) []admission.Load {
	s.peers = s.peers[:0]
	s.loads = s.loads[:0]
	if g == nil {
		return s.loads
	}
	for _, q := range g.peers {
		if use(q) {
			s.peers = append(s.peers, q)
			s.loads = append(s.loads, q.estimate())
		}
	}

	return s.loads
}

// loads returns the last load reports of the peers.
func (g *group) loads() []Load {
	l := make([]Load, 0, len(g.peers))
	for _, q := range g.peers {
		l = append(l, q.load)
	}

	return l
}
