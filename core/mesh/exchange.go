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
		Nonce:  o.nonce,
		Status: c.status(a),
	})
}

// status describes this node to the node at address to.
func (c *Core) status(to netip.AddrPort) Status {
	s := Status{
		Self:      c.options.Self,
		State:     c.state.Digest(),
		Confirmed: c.confirmed() && !c.confirm.cutOff,
		Sample:    c.sample(1),
		Rumours:   c.rumours.take(c),
	}
	if p := c.view.find(to); p == nil || c.own(p.node) {
		s.Beats = c.beats()
	}

	return s
}

// take merges what another node tells about itself and others.
func (c *Core) takeStatus(s Status) {
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
	c.takeStatus(m.Status)
	ack := DigestAck{
		Nonce:  m.Nonce,
		Status: c.status(from),
	}
	differs := !sameState(m.Status.State, ack.Status.State)
	if differs {
		ack.Parts = c.summary()
	}
	c.send(classControl, from, ack)
	if differs {
		c.ahead(from, m.Status.State.Highest)
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
	c.takeStatus(m.Status)
	equal := sameState(m.Status.State, c.state.Digest())
	level := equal
	if !equal {
		c.counters.Differences++
		level = c.onParts(from, m.Parts)
	}
	c.answer(o.started, m.Status.Confirmed, equal, level)
	c.schedule(o.started, equal, m.Status)
}

// schedule sets the time of the next exchange after an answer: soon while the
// view is unconfirmed or the peer holds a newer ticket.
func (c *Core) schedule(started time.Duration, equal bool, s Status) {
	e := &c.exchange
	behind := !equal && (c.empty() || s.State.Highest > c.state.Highest() || !c.confirm.synced)
	e.retries = 0
	switch {
	case behind:
		e.next = c.now + c.jitter(syncEvery)
	case !s.Confirmed && !c.confirmed():
		e.next = c.now + c.jitter(unconfirmedEvery)
	default:
		e.next = started + c.jitter(exchangeEvery)
	}
}
