package agent

import (
	"time"

	"ibisfold.example/core/admission"
)

// group is the agents of one service as this agent knows them.
type group struct {
	service uint64
	// peers are sorted by Target.
	peers []*peer
	// nextPeer is the peer whose turn it is to get a heartbeat.
	nextPeer int
}

// nextHeartbeatPeers returns the peers that get a heartbeat now.
func (g *group) nextHeartbeatPeers() []*peer {
	n := len(g.peers)
	if n <= heartbeatFanout {
		return g.peers
	}
	turn := make([]*peer, 0, heartbeatFanout)
	for range heartbeatFanout {
		g.nextPeer = (g.nextPeer + 1) % n
		turn = append(turn, g.peers[g.nextPeer])
	}

	return turn
}

// suspicionTimeout is how long a peer may be silent: three of its turns.
func (g *group) suspicionTimeout() time.Duration {
	n := max(heartbeatFanout, len(g.peers))

	return suspectAfter * time.Duration(n) / heartbeatFanout
}

// peer is another agent of a group.
type peer struct {
	Peer
	load admission.Load
	// incarnation is the peer's start as last heard; zero if never heard.
	incarnation uint64
	// heard is when the peer last sent anything, or when it was first listed.
	heard time.Duration
	// reportedAt is when the peer was last reportedAt as suspect.
	reportedAt  time.Duration
	suspected bool
	// backoffUntil is the end of the time in which the peer gets no flows.
	backoffUntil time.Duration
	// offeredSinceReport is the number of requests offered since the last load report.
	offeredSinceReport int
	// ownFlowsAtReport is the number of flows here at the time of the last load report.
	ownFlowsAtReport int
}

// usable reports whether flows and requests may be moved to the peer.
func (q *peer) usable() bool {
	return q.incarnation != 0 && !q.suspected && !q.Draining && !q.load.Draining
}

// estimate is the peer's load with what was moved to it since its report.
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

// update takes over a new list of peers and keeps what is known of each.
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

// candidateList is scratch space for a choice among peers.
type candidateList struct {
	peers []*peer
	loads []admission.Load
}

func (s *candidateList) collect(g *group, use func(*peer) bool) []admission.Load {
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

// loads returns what the peers told last.
func (g *group) loads() []Load {
	l := make([]Load, 0, len(g.peers))
	for _, q := range g.peers {
		l = append(l, q.load)
	}

	return l
}
