package mesh

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

const (
	// exchangeInterval is the time between two exchanges. It leaves half of the
	// lease for retries.
	exchangeInterval = 900 * time.Millisecond
	// syncInterval is the time between two exchanges while the core's state
	// differs from the last peer's.
	syncInterval = 300 * time.Millisecond
	// minSyncBytes is the budget that both sides must have available to look
	// for differences, so that the search doesn't use up what the missing
	// tickets need.
	minSyncBytes = 2048
	// retryInterval is the wait for an answer before another peer is tried; a
	// late answer still counts.
	retryInterval = 250 * time.Millisecond
	// exchangeTimeout is how long after its start an exchange counts as
	// unanswered.
	exchangeTimeout = time.Second
	// maxOpenExchanges bounds the exchanges that wait for an answer.
	maxOpenExchanges = 16
	// maxSingleTries is the number of tries with one peer each; later tries
	// contact two peers at once.
	maxSingleTries = 2
	// maxFastTries is the number of tries at retryInterval; later ones follow
	// at exchangeInterval.
	maxFastTries = 20
	// sampleOneIn is the number of answers of which one, on average, carries a
	// peer that the other side did not ask for.
	sampleOneIn = 2
	// minPeers is the size of the view below which a node asks for peers.
	minPeers = MaxPeers / 2
	// searchOneIn is the number of exchanges of which one, on average, looks
	// for differences although open transfers explain them.
	searchOneIn = 4
	// fastExchanges is the number of exchanges at syncInterval that spread a
	// series of tickets.
	fastExchanges = 4
	// unconfirmedInterval is the time between two exchanges while neither side
	// has a confirmed view.
	unconfirmedInterval = 500 * time.Millisecond
)

// openExchange is a Digest that was sent and not answered yet.
type openExchange struct {
	peer    netip.AddrPort
	nonce   uint64
	started time.Duration
}

// exchanges schedules the exchanges of digests that this node opens.
type exchanges struct {
	open []openExchange
	next time.Duration
	// tries counts the tries since the last answer.
	tries int
	// fastLeft is the number of exchanges still to follow at syncInterval.
	fastLeft int
}

// exchangeSoon schedules the next exchanges at syncInterval, because there are
// new tickets to spread.
func (c *Core) exchangeSoon() {
	c.exchange.fastLeft = fastExchanges
	c.exchange.next = min(c.exchange.next, c.now+c.jitter(syncInterval))
}

// exchangeTick ends unanswered exchanges and opens new ones when they are due.
func (c *Core) exchangeTick() {
	e := &c.exchange
	e.open = slices.DeleteFunc(e.open, func(o openExchange) bool {
		if c.now-o.started < exchangeTimeout {
			return false
		}
		c.counters.ExchangeTimeouts++
		c.recordMiss(o.peer)

		return true
	})
	c.probe()
	if c.now < e.next {
		return
	}

	e.next = c.now + retryInterval
	c.open()
	switch {
	case c.confirm.cutOff || e.tries >= maxFastTries:
		e.next = c.now + c.jitter(exchangeInterval)
	case e.tries >= maxSingleTries:
		c.open()
	}
	e.tries++
}

// probe opens an exchange with an address outside the view every probeInterval,
// and with each try while the view is empty.
func (c *Core) probe() {
	alone := len(c.view.peers) == 0 && c.now >= c.exchange.next
	if c.now < c.view.nextProbe && !alone {
		return
	}
	c.view.nextProbe = c.now + c.jitter(probeInterval)
	if a, ok := c.outsideAddr(); ok {
		c.openWith(a)
	}
}

// open opens an exchange with a random peer that has none open.
func (c *Core) open() {
	candidates := []netip.AddrPort{}
	for _, p := range c.view.peers {
		if !c.exchange.isOpenWith(p.node.Addr) {
			candidates = append(candidates, p.node.Addr)
		}
	}
	if len(candidates) > 0 {
		c.openWith(pick(c.random, candidates))
	}
}

func (e *exchanges) isOpenWith(a netip.AddrPort) bool {
	return slices.ContainsFunc(e.open, func(o openExchange) bool { return o.peer == a })
}

func (c *Core) openWith(a netip.AddrPort) {
	if len(c.exchange.open) >= maxOpenExchanges {
		return
	}
	o := openExchange{
		peer:    a,
		nonce:   c.random.Uint64(),
		started: c.now,
	}
	c.exchange.open = append(c.exchange.open, o)
	c.send(priorityControl, a, Digest{
		Nonce:          o.nonce,
		Status:         c.status(a),
		AvailableBytes: uint32(c.budget.available()),
		WantPeers:      len(c.view.peers) < minPeers,
		Pending:        c.pending(),
	})
}

// status returns what this node reports about itself to the node at address to.
func (c *Core) status(to netip.AddrPort) Status {
	s := Status{
		Self:       c.selfWithoutAddr(),
		State:      c.state.Digest(),
		Confirmed:  c.confirmed() && !c.confirm.cutOff,
		Suspicions: c.suspicions.takeForDigest(c),
	}
	if p := c.view.find(to); p == nil || c.sameZone(p.node) {
		s.Heartbeats = c.nextHeartbeats(1)
	}

	return s
}

// selfWithoutAddr describes this node without its address, which every message
// carries anyway.
func (c *Core) selfWithoutAddr() Node {
	n := c.options.Self
	n.Addr = netip.AddrPort{}

	return n
}

// mergeStatus merges what another node reports about itself and others.
func (c *Core) mergeStatus(from netip.AddrPort, s Status) {
	s.Self.Addr = from
	c.learn(s.Self, true)
	for i, n := range s.Sample {
		if i < MaxSample {
			c.learn(n, false)
		}
	}
	if c.sameZone(s.Self) {
		c.readers.mergeHeartbeats(c, s.Heartbeats)
	}
	c.onSuspicions(s.Suspicions)
}

func sameState(a, b ticket.Digest) bool {
	return a.Floor == b.Floor && a.Hash == b.Hash
}

// onDigest answers a Digest. If the states differ and both sides have the
// budget, the answer describes this node's tickets.
func (c *Core) onDigest(from netip.AddrPort, m Digest) {
	c.mergeStatus(from, m.Status)
	ack := DigestAck{
		Nonce:  m.Nonce,
		Status: c.status(from),
	}
	if len(ack.Status.Heartbeats) > 0 {
		ack.Status.Heartbeats = c.nextHeartbeats(MaxHeartbeats)
	}
	switch {
	case m.WantPeers:
		ack.Status.Sample = c.sample(MaxSample)
	case c.random.IntN(sampleOneIn) == 0:
		ack.Status.Sample = c.sample(1)
	}
	differs := !sameState(m.Status.State, ack.Status.State)
	ack.Has = c.servable(m.Pending)
	search := m.AvailableBytes >= minSyncBytes && c.budget.available() >= minSyncBytes && !c.explainedByTransfers(m, len(ack.Has) > 0)
	if differs && search {
		ack.Ranges = c.summary()
	}
	c.send(priorityControl, from, ack)
	if differs {
		c.sendZoneOuts(from, m.Status.State.Highest)
		c.exchangeBack(from, m.Status.State.Highest)
	}
}

// explainedByTransfers reports whether the tickets that the other side is
// fetching probably explain the whole difference. It reports false once in
// searchOneIn times, so that the difference is checked all the same.
func (c *Core) explainedByTransfers(m Digest, canServe bool) bool {
	highest := m.Status.State.Highest
	for _, v := range m.Pending {
		highest = max(highest, v.Number)
	}

	return canServe && m.Status.Confirmed && c.state.Highest() <= highest && c.random.IntN(searchOneIn) > 0
}

// exchangeBack opens an exchange with a node that has a newer ticket. Tickets
// are sent only to the side that opened an exchange, so that a node receives
// each one once.
func (c *Core) exchangeBack(from netip.AddrPort, highest uint64) {
	if highest > c.highestKnown() && c.budget.available() >= minSyncBytes && !c.exchange.isOpenWith(from) {
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
	c.mergeStatus(from, m.Status)
	equal := sameState(m.Status.State, c.state.Digest())
	upToDate := equal
	if !equal {
		c.counters.Differences++
		upToDate = c.onRanges(from, m.Ranges, 0)
	}
	for _, v := range m.Has {
		c.addSource(v, from)
	}
	c.confirmByPeer(o.started, m.Status.Confirmed, equal, upToDate)
	c.scheduleNext(o.started, equal, m.Status)
}

// scheduleNext sets the time of the next exchange after an answer. It comes
// sooner while the peer holds tickets that this node lacks, while there are new
// tickets to spread, and while neither side has a confirmed view.
func (c *Core) scheduleNext(started time.Duration, equal bool, s Status) {
	e := &c.exchange
	behind := !equal && (c.empty() || s.State.Highest > c.highestKnown() || !c.confirm.synced)
	e.tries = 0
	switch {
	case (behind || e.fastLeft > 0) && c.budget.available() > minSyncBytes:
		e.fastLeft = max(0, e.fastLeft-1)
		e.next = c.now + c.jitter(syncInterval)
	case !s.Confirmed && !c.confirmed():
		e.next = c.now + c.jitter(unconfirmedInterval)
	default:
		e.next = started + c.jitter(exchangeInterval)
	}
}
