package callers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

const (
	// initialRetransmitTime is the mean time until the first retransmission. It doubles with each
	// one up to maxRetransmitTime.
	initialRetransmitTime = 250 * time.Millisecond
	maxRetransmitTime     = 2 * time.Second
	// keepAliveInterval is the mean time between two KeepAlive packets of a flow.
	keepAliveInterval = 10 * time.Second
	// closeTimeout bounds the wait for Closed, after which the flow counts as silent.
	closeTimeout = 5 * time.Second
	// silenceTimeout bounds the time for which a flow with an unanswered request may receive
	// nothing before it counts as silent. It exceeds the pauses of 10 s that a process may make.
	silenceTimeout = 15 * time.Second
)

// flow is the caller's side of one flow.
type flow struct {
	id     uint64
	load   *Load
	stats  *Stats
	zones  *Zones
	socket *socket

	mu    sync.Mutex
	token packet.Token
	// tokenSince is the time from which token is used.
	tokenSince time.Time
	openedAt   time.Time
	open       bool
	closing    bool
	// lastRequest is the number of the flow's latest request.
	lastRequest uint64
	// lastReceived is the time of the last packet other than Closed and Reset.
	lastReceived time.Time
	pending      map[uint64]chan packet.Packet

	// openReplies receives the replies to Open: Opened and Refused.
	openReplies chan packet.Packet
	// ended is closed when the flow is over.
	ended   chan struct{}
	endOnce sync.Once
}

func newFlow(id uint64, l *Load, o *Options, st *Stats, s *socket) *flow {
	f := &flow{
		id:          id,
		load:        l,
		stats:       st,
		zones:       o.Zones,
		socket:      s,
		pending:     map[uint64]chan packet.Packet{},
		openReplies: make(chan packet.Packet, 4),
		ended:       make(chan struct{}),
	}
	s.add(f.id, f)

	return f
}

// retransmitTime returns the time until the next retransmission, with jitter.
func retransmitTime(attempt uint32) time.Duration {
	d := min(maxRetransmitTime, initialRetransmitTime<<min(attempt, 8))

	return d/2 + rand.N(d)
}

// packet returns a packet of a kind with the flow's ID and token.
func (f *flow) packet(k packet.Kind) packet.Packet {
	f.mu.Lock()
	defer f.mu.Unlock()

	return packet.Packet{
		Kind:    k,
		Service: f.load.Address,
		Flow:    f.id,
		Token:   f.token,
		Tenant:  []byte(f.load.Tenant),
	}
}

// connect sends Open until the flow is open. It returns false if ctx is done or if the flow was
// reset before it was open.
func (f *flow) connect(ctx context.Context) bool {
	for attempt := uint32(0); ; attempt++ {
		p := f.packet(packet.Open)
		p.Attempt = attempt
		f.socket.send(&p)

		wait := time.NewTimer(retransmitTime(attempt))
		select {
		case <-ctx.Done():
			return false
		case <-f.ended:
			return false
		case a := <-f.openReplies:
			if a.Kind == packet.Opened {
				return true
			}
			if !sleep(ctx, max(minRetryTime, a.RetryAfter)) {
				return false
			}
		case <-wait.C:
		}
		wait.Stop()
	}
}

// sleep waits for about d, with jitter, and returns false if ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d+time.Millisecond))
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// keepOpen sends KeepAlive periodically until the flow ends or ctx is done.
func (f *flow) keepOpen(ctx context.Context) {
	t := time.NewTicker(keepAliveInterval/2 + rand.N(keepAliveInterval))
	defer t.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-f.ended:
			return
		case <-t.C:
			p := f.packet(packet.KeepAlive)
			f.socket.send(&p)
		}
	}
}

// close sends Close until the flow is closed, at most for closeTimeout.
func (f *flow) close() {
	f.mu.Lock()
	open := f.open
	f.closing = true
	f.mu.Unlock()
	if !open || !f.isOpen() {
		f.end(causeNone, 0)
		return
	}

	limit := time.NewTimer(closeTimeout)
	defer limit.Stop()
	for attempt := uint32(0); ; attempt++ {
		p := f.packet(packet.Close)
		p.Attempt = attempt
		f.socket.send(&p)
		wait := time.NewTimer(retransmitTime(attempt))
		select {
		case <-f.ended:
			return
		case <-limit.C:
			f.endSilent()
			return
		case <-wait.C:
		}
	}
}

func (f *flow) receive(p *packet.Packet) {
	switch p.Kind {
	case packet.Opened:
		f.opened(p)
	case packet.Closed:
		f.closed()
	case packet.Reset:
		f.reset(p)
	case packet.KeepAlive:
		f.adoptToken(p)
	case packet.Moved:
		f.adoptToken(p)
		f.confirmToken()
	case packet.Answer, packet.Refused:
		f.adoptToken(p)
		f.deliver(p)
	}
}

// opened uses the token of the first Opened only. A retransmitted Open may have reached another
// agent, whose flow stays unused.
func (f *flow) opened(p *packet.Packet) {
	f.mu.Lock()
	first := !f.open
	if first {
		f.open = true
		f.token = p.Token
		f.openedAt = time.Now()
		f.tokenSince = f.openedAt
		f.lastReceived = f.openedAt
	}
	f.mu.Unlock()

	if first {
		f.stats.count(func(c *Counts) { c.Flows++ })
		f.deliverOpenReply(p)
	}
}

// deliverOpenReply passes a reply to Open on to connect.
func (f *flow) deliverOpenReply(p *packet.Packet) {
	select {
	case f.openReplies <- *p:
	default:
	}
}

func (f *flow) closed() {
	f.mu.Lock()
	closing := f.closing
	f.mu.Unlock()

	if closing {
		f.end(causeNone, 0)
	}
}

// adoptToken uses the token of a packet from now on, if it has one.
func (f *flow) adoptToken(p *packet.Packet) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.lastReceived = time.Now()
	if p.Token.IsZero() || !f.open || p.Token == f.token {
		return
	}
	if p.Token.Agent != f.token.Agent {
		f.stats.count(func(c *Counts) { c.Moved++ })
	}
	f.token = p.Token
	f.tokenSince = time.Now()
}

// confirmToken sends a packet with the new token at once, so that the flow's previous owner need
// not wait for the next request.
func (f *flow) confirmToken() {
	p := f.packet(packet.KeepAlive)
	f.socket.send(&p)
}

// deliver passes a reply on to the request or the Open that waits for it.
func (f *flow) deliver(p *packet.Packet) {
	f.mu.Lock()
	c := f.pending[p.Request]
	open := f.open
	f.mu.Unlock()

	switch {
	case c != nil:
		select {
		case c <- *p:
		default:
		}
	case p.Request == 0 && p.Kind == packet.Refused && !open:
		f.deliverOpenReply(p)
	}
}

func sameOwner(a, b *packet.Token) bool {
	return a.Agent == b.Agent && a.Target == b.Target && a.Incarnation == b.Incarnation
}

// reset ends the flow unless the packet is from another owner: one that handed the flow over, or
// one that a retransmitted Open reached.
func (f *flow) reset(p *packet.Packet) {
	f.mu.Lock()
	c := f.pending[p.Request]
	other := !p.Token.IsZero() && !sameOwner(&p.Token, &f.token)
	open := f.open
	f.mu.Unlock()

	if c != nil && p.Request != 0 {
		select {
		case c <- *p:
		default:
		}
	}
	if other {
		return
	}
	if !open {
		f.end(causeNone, 0)
		return
	}
	f.end(causeReset, p.Request)
}

func (f *flow) endSilent() {
	f.end(causeSilent, 0)
}

// Causes of the end of a flow.
const (
	causeNone   = ""
	causeReset  = "reset"
	causeSilent = "silent"
)

// end ends the flow, once. A flow that ends with a cause counts as given up if its zone was out of
// service at any time since the flow got its token, and as broken otherwise.
func (f *flow) end(cause string, request uint64) {
	f.endOnce.Do(func() {
		if cause != causeNone {
			f.countEnd(cause, request)
		}
		close(f.ended)
		f.socket.remove(f.id)
	})
}

func (f *flow) countEnd(cause string, request uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.zones.wasOutOfService(f.token.Zone, f.tokenSince) {
		f.stats.count(func(c *Counts) { c.GivenUp++ })
		return
	}
	f.stats.addBrokenFlow(BrokenFlow{
		At:         time.Now(),
		Flow:       f.id,
		Cause:      cause,
		Agent:      f.token.Agent,
		Zone:       f.token.Zone,
		Opened:     f.openedAt,
		TokenSince: f.tokenSince,
		Request:    request,
	})
}

// serviceID returns the ID of the service from which answers must come.
func (f *flow) serviceID() uint64 {
	return ticket.ID(f.load.Service)
}
