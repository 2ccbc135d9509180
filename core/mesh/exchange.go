package mesh

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

const (
	// exchangeEvery leaves half of the lease for repetitions.
	exchangeEvery = 900 * time.Millisecond
	// syncEvery is used while the own state differs from the last peer's.
	syncEvery = 300 * time.Millisecond
	// syncBytes is the room that both sides must have to look for differences,
	// so that the search doesn't use up what the missing tickets need.
	syncBytes = 2048
	// retryAfter is when another peer is tried; an answer may still come.
	retryAfter = 250 * time.Millisecond
	// forgetAfter is when an exchange counts as unanswered.
	forgetAfter = time.Second
	// maxExchanges bounds the exchanges without an answer yet.
	maxExchanges = 16
	// maxSingle is the number of tries after which two peers are tried at once.
	maxSingle = 2
	// maxRetries is the number of tries after which the pace is slow again.
	maxRetries = 20
	// sampleOneIn is the share of answers that pass on a peer.
	sampleOneIn = 2
	// sparsePeers is the size of the view below which a node asks for peers.
	sparsePeers = MaxPeers / 2
	// searchOneIn is the share of exchanges that look for differences although
	// a transfer explains them.
	searchOneIn = 4
	// hurriedExchanges spread a series of tickets.
	hurriedExchanges = 4
	// unconfirmedEvery is used while neither side has a confirmed view.
	unconfirmedEvery = 500 * time.Millisecond
)

type openExchange struct {
	peer    netip.AddrPort
	nonce   uint64
	started time.Duration
}

type exchanges struct {
	open    []openExchange
	next    time.Duration
	retries int
	// hurried is the number of exchanges that are held at the pace of syncEvery.
	hurried int
}

// hurry makes the next exchanges follow soon, because they have news to spread.
func (c *Core) hurry() {
	c.exchange.hurried = hurriedExchanges
	c.exchange.next = min(c.exchange.next, c.now+c.jitter(syncEvery))
}

func (c *Core) exchangeTick() {
	e := &c.exchange
	e.open = slices.DeleteFunc(e.open, func(o openExchange) bool {
		if c.now-o.started < forgetAfter {
			return false
		}
		c.counters.ExchangeTimeouts++
		c.missed(o.peer)

		return true
	})
	c.probe()
	if c.now < e.next {
		return
	}

	e.next = c.now + retryAfter
	c.open()
	switch {
	case c.confirm.cutOff || e.retries >= maxRetries:
		e.next = c.now + c.jitter(exchangeEvery)
	case e.retries >= maxSingle:
		c.open()
	}
	e.retries++
}

// probe contacts an address outside the view from time to time, or at each
// tick of an exchange while the view is empty.
func (c *Core) probe() {
	alone := len(c.view.peers) == 0 && c.now >= c.exchange.next
	if c.now < c.view.nextProbe && !alone {
		return
	}
	c.view.nextProbe = c.now + c.jitter(probeEvery)
	if a, ok := c.outside(); ok {
		c.openWith(a)
	}
}

// open starts an exchange with a random peer that has none open.
func (c *Core) open() {
	candidates := []netip.AddrPort{}
	for _, p := range c.view.peers {
		if !c.exchange.has(p.node.Addr) {
			candidates = append(candidates, p.node.Addr)
		}
	}
	if len(candidates) > 0 {
		c.openWith(pick(c.random, candidates))
	}
}

func (e *exchanges) has(a netip.AddrPort) bool {
	return slices.ContainsFunc(e.open, func(o openExchange) bool { return o.peer == a })
}

func (c *Core) openWith(a netip.AddrPort) {
	if len(c.exchange.open) >= maxExchanges {
		return
	}
	o := openExchange{
		peer:    a,
		nonce:   c.random.Uint64(),
		started: c.now,
	}
	c.exchange.open = append(c.exchange.open, o)
	c.send(classControl, a, Digest{
		Nonce:   o.nonce,
		Status:  c.status(a),
		Room:    uint32(c.budget.room()),
		Sparse:  len(c.view.peers) < sparsePeers,
		Pending: c.pending(),
	})
}

// status describes this node to the node at address to.
func (c *Core) status(to netip.AddrPort) Status {
	s := Status{
		Self:      c.anonymous(),
		State:     c.state.Digest(),
		Confirmed: c.confirmed() && !c.confirm.cutOff,
		Rumours:   c.rumours.take(c),
	}
	if p := c.view.find(to); p == nil || c.own(p.node) {
		s.Beats = c.someBeats(1)
	}

	return s
}

// anonymous describes this node without its address, which every message has.
func (c *Core) anonymous() Node {
	n := c.options.Self
	n.Addr = netip.AddrPort{}

	return n
}

// takeStatus merges what another node tells about itself and others.
func (c *Core) takeStatus(from netip.AddrPort, s Status) {
	s.Self.Addr = from
	c.learn(s.Self, true)
	for i, n := range s.Sample {
		if i < MaxSample {
			c.learn(n, false)
		}
	}
	if c.own(s.Self) {
		c.readers.hear(c, s.Beats)
	}
	c.onRumours(s.Rumours)
}

func sameState(a, b ticket.Digest) bool {
	return a.Floor == b.Floor && a.Hash == b.Hash
}

func (c *Core) onDigest(from netip.AddrPort, m Digest) {
	c.takeStatus(from, m.Status)
	ack := DigestAck{
		Nonce:  m.Nonce,
		Status: c.status(from),
	}
	if len(ack.Status.Beats) > 0 {
		ack.Status.Beats = c.someBeats(MaxBeats)
	}
	switch {
	case m.Sparse:
		ack.Status.Sample = c.sample(MaxSample)
	case c.random.IntN(sampleOneIn) == 0:
		ack.Status.Sample = c.sample(1)
	}
	differs := !sameState(m.Status.State, ack.Status.State)
	ack.Has = c.has(m.Pending)
	search := m.Room >= syncBytes && c.budget.room() >= syncBytes && !c.explained(m, len(ack.Has) > 0)
	if differs && search {
		ack.Parts = c.summary()
	}
	c.send(classControl, from, ack)
	if differs {
		c.urge(from, m.Status.State.Highest)
		c.turn(from, m.Status.State.Highest)
	}
}

// explained reports whether the tickets that the other side is fetching are
// probably all that differs. One time in searchOneIn it is checked all the same.
func (c *Core) explained(m Digest, has bool) bool {
	highest := m.Status.State.Highest
	for _, v := range m.Pending {
		highest = max(highest, v.Number)
	}

	return has && m.Status.Confirmed && c.state.Highest() <= highest && c.random.IntN(searchOneIn) > 0
}

// turn opens an exchange with a node that has a newer ticket: tickets are only
// given to the side that opened an exchange, so that a node gets each one once.
func (c *Core) turn(from netip.AddrPort, highest uint64) {
	if highest > c.known() && c.budget.room() >= syncBytes && !c.exchange.has(from) {
		c.openWith(from)
	}
}

func (c *Core) onDigestAck(from netip.AddrPort, m DigestAck) {
	e := &c.exchange
	i := slices.IndexFunc(e.open, func(o openExchange) bool {
		return o.nonce == m.Nonce && o.peer == from
	})
	if i < 0 {
		return
	}

	o := e.open[i]
	e.open = slices.Delete(e.open, i, i+1)
	c.counters.Exchanges++
	c.takeStatus(from, m.Status)
	equal := sameState(m.Status.State, c.state.Digest())
	level := equal
	if !equal {
		c.counters.Differences++
		level = c.onParts(from, m.Parts, 0)
	}
	for _, v := range m.Has {
		c.addSource(v, from)
	}
	c.answer(o.started, m.Status.Confirmed, equal, level)
	c.schedule(o.started, equal, m.Status)
}

// schedule sets the time of the next exchange after an answer: soon while the
// view is unconfirmed or the peer holds a newer ticket.
func (c *Core) schedule(started time.Duration, equal bool, s Status) {
	e := &c.exchange
	behind := !equal && (c.empty() || s.State.Highest > c.known() || !c.confirm.synced)
	e.retries = 0
	switch {
	case (behind || e.hurried > 0) && c.budget.room() > syncBytes:
		e.hurried = max(0, e.hurried-1)
		e.next = c.now + c.jitter(syncEvery)
	case !s.Confirmed && !c.confirmed():
		e.next = c.now + c.jitter(unconfirmedEvery)
	default:
		e.next = started + c.jitter(exchangeEvery)
	}
}
