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
	// next is the peer whose turn it is to get a heartbeat.
	next int
}

// turn returns the peers that get a heartbeat now.
func (g *group) turn() []*peer {
	n := len(g.peers)
	if n <= heartbeatsEach {
		return g.peers
	}
	turn := make([]*peer, 0, heartbeatsEach)
	for range heartbeatsEach {
		g.next = (g.next + 1) % n
		turn = append(turn, g.peers[g.next])
	}

	return turn
}

// patience is how long a peer may be silent: three of its turns.
func (g *group) patience() time.Duration {
	n := max(heartbeatsEach, len(g.peers))

	return suspectAfter * time.Duration(n) / heartbeatsEach
}

// peer is another agent of a group.
type peer struct {
	Peer
	load admission.Load
	// incarnation is the peer's start as last heard; zero if never heard.
	incarnation uint64
	// heard is when the peer last sent anything, or when it was first listed.
	heard time.Duration
	// reported is when the peer was last reported as suspect.
	reported  time.Duration
	suspected bool
	// restUntil is the end of the time in which the peer gets no flows.
	restUntil time.Duration
	// moved is the number of requests offered since the last load report.
	moved int
	// ownFlows is the number of flows here at the time of the last load report.
	ownFlows int
}

// usable reports whether flows and requests may be moved to the peer.
func (q *peer) usable() bool {
	return q.incarnation != 0 && !q.suspected && !q.Draining && !q.load.Draining
}

// estimate is the peer's load with what was moved to it since its report.
func (q *peer) estimate() admission.Load {
	l := q.load
	l.Target = q.Target
	l.Busy += float64(q.moved)
	l.Running += q.moved
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
	for _, g := range c.former {
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
	for _, g := range c.former {
		if q := g.peer(target); q != nil {
			return q
		}
	}

	return nil
}

// picks is scratch space for a choice among peers.
type picks struct {
	peers []*peer
	loads []admission.Load
}

func (s *picks) collect(g *group, use func(*peer) bool) []admission.Load {
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
