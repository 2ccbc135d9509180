package mesh

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxPeers bounds the partial view.
	MaxPeers = 16
	// maxSameZonePeers bounds the peers of the node's own zone, so that peers
	// of other zones stay known.
	maxSameZonePeers = 9
	// maxMisses is the number of unanswered exchanges in a row after which a
	// peer leaves the view.
	maxMisses = 3
	// lostTime is how long a peer that left the view is kept out, unless it
	// sends a message or restarts.
	lostTime = 30 * time.Second
	// maxLost bounds the remembered peers that left the view.
	maxLost = 32
	// maxSampleSilence bounds the silence of a peer that is passed on to
	// others.
	maxSampleSilence = 30 * time.Second
	// probeInterval is the time between contacts outside the view, which
	// reconnect the sides of a partition after its end.
	probeInterval = 10 * time.Second
	// replaceOneIn is the number of new nodes of which one, on average,
	// replaces a peer of a full view. This keeps views random.
	replaceOneIn = 2
)

// viewPeer is a peer of the partial view.
type viewPeer struct {
	node  Node
	added time.Duration
	heard time.Duration
	// misses counts the unanswered exchanges since the peer was last heard.
	misses int
	// direct is set once the peer itself has sent a message.
	direct bool
}

// lostPeer is a peer that left the view because it didn't answer.
type lostPeer struct {
	node  Node
	until time.Duration
}

// view is the partial view: the peers that the core exchanges digests with.
type view struct {
	peers     []viewPeer
	lost      []lostPeer
	nextProbe time.Duration
}

func (v *view) find(a netip.AddrPort) *viewPeer {
	for i := range v.peers {
		if v.peers[i].node.Addr == a {
			return &v.peers[i]
		}
	}

	return nil
}

// heard records a message from a peer.
func (v *view) heard(a netip.AddrPort, now time.Duration) {
	if p := v.find(a); p != nil {
		p.heard = now
		p.misses = 0
		p.direct = true
	}
}

// learn considers a node for the view. direct means that the node itself sent a
// message.
func (c *Core) learn(n Node, direct bool) {
	v := &c.view
	if n.Addr == c.options.Self.Addr || !n.Addr.IsValid() || n.Role == 0 {
		return
	}
	if p := v.find(n.Addr); p != nil {
		if n.Incarnation >= p.node.Incarnation {
			p.node = n
		}

		return
	}
	if c.isLost(n, direct) {
		return
	}

	p := viewPeer{
		node:   n,
		added:  c.now,
		heard:  c.now,
		direct: direct,
	}
	if c.hasRoom(n) {
		v.peers = append(v.peers, p)

		return
	}
	if c.random.IntN(replaceOneIn) == 0 {
		*c.peerToReplace(n) = p
	}
}

// isLost reports whether a node is to be kept out of the view, and forgets a
// lost peer that is back.
func (c *Core) isLost(n Node, direct bool) bool {
	v := &c.view
	i := slices.IndexFunc(v.lost, func(l lostPeer) bool { return l.node.Addr == n.Addr })
	if i < 0 {
		return false
	}
	l := v.lost[i]
	if !direct && c.now < l.until && n.Incarnation <= l.node.Incarnation {
		return true
	}
	v.lost = slices.Delete(v.lost, i, i+1)

	return false
}

// sameZone reports whether n is in this node's zone.
func (c *Core) sameZone(n Node) bool {
	return n.Zone == c.options.Self.Zone
}

// hasRoom reports whether the view has room for n. Peers of this node's zone and
// peers of other zones have separate limits.
func (c *Core) hasRoom(n Node) bool {
	if len(c.view.peers) >= MaxPeers {
		return false
	}
	sameZone := 0
	for _, p := range c.view.peers {
		if c.sameZone(p.node) {
			sameZone++
		}
	}
	if c.sameZone(n) {
		return sameZone < maxSameZonePeers
	}

	return len(c.view.peers)-sameZone < MaxPeers-maxSameZonePeers
}

// peerToReplace returns the peer that n replaces if the view has no room for it.
// If n is in this node's zone, that is the oldest peer of the zone. Otherwise it
// is the oldest peer of the other zone that has the most peers in the view.
// Replacing the oldest keeps nodes that all others knew at the start from staying
// known to all.
func (c *Core) peerToReplace(n Node) *viewPeer {
	v := &c.view
	counts := map[string]int{}
	most := 0
	for _, p := range v.peers {
		if c.sameZone(p.node) == c.sameZone(n) {
			counts[p.node.Zone]++
			most = max(most, counts[p.node.Zone])
		}
	}
	oldest := &v.peers[c.random.IntN(len(v.peers))]
	found := false
	for i := range v.peers {
		p := &v.peers[i]
		if c.sameZone(p.node) != c.sameZone(n) || counts[p.node.Zone] != most {
			continue
		}
		if !found || p.added < oldest.added {
			oldest = p
			found = true
		}
	}

	return oldest
}

// recordMiss counts an unanswered exchange, and removes a peer after maxMisses
// of them.
func (c *Core) recordMiss(a netip.AddrPort) {
	v := &c.view
	p := v.find(a)
	if p == nil {
		return
	}
	p.misses++
	if p.misses < maxMisses {
		return
	}
	if len(v.lost) >= maxLost {
		v.lost = slices.Delete(v.lost, 0, 1)
	}
	v.lost = append(v.lost, lostPeer{
		node:  p.node,
		until: c.now + lostTime,
	})
	v.peers = slices.DeleteFunc(v.peers, func(p viewPeer) bool { return p.node.Addr == a })
}

// sample returns up to n random peers that were heard recently.
func (c *Core) sample(n int) []Node {
	nodes := []Node{}
	for _, i := range c.random.Perm(len(c.view.peers)) {
		p := c.view.peers[i]
		if len(nodes) < n && p.direct && p.misses == 0 && c.now-p.heard < maxSampleSilence {
			nodes = append(nodes, p.node)
		}
	}

	return nodes
}

// choosePeers returns up to n distinct peers for a push. At least a third are
// of other zones if so many are known; peers that missed an exchange come last.
func (c *Core) choosePeers(n int, except netip.AddrPort) []netip.AddrPort {
	sameZone := []netip.AddrPort{}
	other := []netip.AddrPort{}
	silent := []netip.AddrPort{}
	for _, i := range c.random.Perm(len(c.view.peers)) {
		p := c.view.peers[i]
		switch {
		case p.node.Addr == except:
		case p.misses > 0:
			silent = append(silent, p.node.Addr)
		case c.sameZone(p.node):
			sameZone = append(sameZone, p.node.Addr)
		default:
			other = append(other, p.node.Addr)
		}
	}

	k := min(len(other), max(n/3, n-len(sameZone)))
	all := append(other[:k:k], sameZone...)
	all = append(all, other[k:]...)
	all = append(all, silent...)

	return all[:min(n, len(all))]
}

// outsideAddr returns a random address outside the view, if one is known.
func (c *Core) outsideAddr() (netip.AddrPort, bool) {
	all := []netip.AddrPort{}
	add := func(a netip.AddrPort) {
		if a != c.options.Self.Addr && c.view.find(a) == nil {
			all = append(all, a)
		}
	}
	for _, l := range c.view.lost {
		add(l.node.Addr)
	}
	if len(all) > 0 && c.random.IntN(2) == 0 {
		return pick(c.random, all), true
	}
	for _, a := range c.agents() {
		add(a)
	}
	// Seeds come last: the whole fleet names the same few nodes as seeds, and
	// they would be probed more often than their byte budget allows.
	if len(all) == 0 || len(c.view.peers) == 0 {
		for _, a := range c.options.Seeds {
			add(a)
		}
	}
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}

	return pick(c.random, all), true
}

// vmsListed considers the nodes of the platform's list for the view.
func (c *Core) vmsListed(m VMsListed) {
	for _, i := range c.random.Perm(len(m.Nodes)) {
		c.learn(m.Nodes[i], false)
	}
}
