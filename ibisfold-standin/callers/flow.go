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
	// firstRepeat is the time until the first retransmission; it doubles with
	// each one up to lastRepeat.
	firstRepeat = 250 * time.Millisecond
	lastRepeat  = 2 * time.Second
	// keepAlive is the time between two KeepAlive packets.
	keepAlive = 10 * time.Second
	// closeTime is how long a flow asks for Closed before it counts as silent.
	closeTime = 5 * time.Second
	// silentAfter is the number of requests in a row without any answer after
	// which a flow counts as silent.
	silentAfter = 2
)

// flow is one flow of a caller.
type flow struct {
	id     uint64
	load   *Load
	stats  *Stats
	zones  *Zones
	socket *socket

	mu    sync.Mutex
	token packet.Token
	// adopted is the time at which token was adopted.
	adopted time.Time
	open    bool
	closing bool
	next    uint64
	silent  int
	waiting map[uint64]chan packet.Packet

	// answer receives Opened, Refused of Open, and Closed.
	answer chan packet.Packet
	// ended is closed when the flow is over.
	ended chan struct{}
	once  sync.Once
}

func newFlow(id uint64, l *Load, o *Options, st *Stats, s *socket) *flow {
	f := &flow{
		id:      id,
		load:    l,
		stats:   st,
		zones:   o.Zones,
		socket:  s,
		waiting: map[uint64]chan packet.Packet{},
		answer:  make(chan packet.Packet, 4),
		ended:   make(chan struct{}),
	}
	s.add(f.id, f)

	return f
}

// repeatAfter is the time until the next retransmission, with jitter.
func repeatAfter(attempt uint32) time.Duration {
	d := min(lastRepeat, firstRepeat<<min(attempt, 8))

	return d/2 + rand.N(d)
}

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

// connect sends Open until the flow is open. It returns false when ctx is done
// or when the flow was reset before it was open.
func (f *flow) connect(ctx context.Context) bool {
	for attempt := uint32(0); ; attempt++ {
		p := f.packet(packet.Open)
		p.Attempt = attempt
		f.socket.send(&p)

		wait := time.NewTimer(repeatAfter(attempt))
		select {
		case <-ctx.Done():
			return false
		case <-f.ended:
			return false
		case a := <-f.answer:
			if a.Kind == packet.Opened {
				return true
			}
			if !sleep(ctx, max(leastRetry, a.RetryAfter)) {
				return false
			}
		case <-wait.C:
		}
		wait.Stop()
	}
}

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

// keep sends KeepAlive until the flow ends.
func (f *flow) keep(ctx context.Context) {
	t := time.NewTicker(keepAlive/2 + rand.N(keepAlive))
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

// close sends Close until the flow is closed.
func (f *flow) close() {
	f.mu.Lock()
	open := f.open
	f.closing = true
	f.mu.Unlock()
	if !open || !f.isOpen() {
		f.end(nil)
		return
	}

	limit := time.NewTimer(closeTime)
	defer limit.Stop()
	for attempt := uint32(0); ; attempt++ {
		p := f.packet(packet.Close)
		p.Attempt = attempt
		f.socket.send(&p)
		wait := time.NewTimer(repeatAfter(attempt))
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
	case packet.Moved, packet.KeepAlive:
		f.adopt(p)
	case packet.Answer, packet.Refused:
		f.adopt(p)
		f.deliver(p)
	}
}

// opened adopts the first Opened only: a repeated Open may have reached
// another agent, whose flow is left alone.
func (f *flow) opened(p *packet.Packet) {
	f.mu.Lock()
	first := !f.open
	if first {
		f.open = true
		f.token = p.Token
		f.adopted = time.Now()
	}
	f.mu.Unlock()

	if first {
		f.stats.count(func(c *Counts) { c.Flows++ })
		f.tell(p)
	}
}

func (f *flow) tell(p *packet.Packet) {
	select {
	case f.answer <- *p:
	default:
	}
}

func (f *flow) closed() {
	f.mu.Lock()
	closing := f.closing
	f.mu.Unlock()

	if closing {
		f.end(nil)
	}
}

func (f *flow) adopt(p *packet.Packet) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.silent = 0
	if p.Token.IsZero() || !f.open || p.Token == f.token {
		return
	}
	if p.Token.Agent != f.token.Agent {
		f.stats.count(func(c *Counts) { c.Moved++ })
	}
	f.token = p.Token
	f.adopted = time.Now()
}

func (f *flow) deliver(p *packet.Packet) {
	f.mu.Lock()
	c := f.waiting[p.Request]
	open := f.open
	f.mu.Unlock()

	switch {
	case c != nil:
		select {
		case c <- *p:
		default:
		}
	case p.Request == 0 && p.Kind == packet.Refused && !open:
		f.tell(p)
	}
}

// reset ends the flow unless the packet is about a token that the flow has
// replaced.
func (f *flow) reset(p *packet.Packet) {
	f.mu.Lock()
	c := f.waiting[p.Request]
	old := !p.Token.IsZero() && p.Token != f.token
	open := f.open
	f.mu.Unlock()

	if c != nil && p.Request != 0 {
		select {
		case c <- *p:
		default:
		}
	}
	if old {
		return
	}
	if !open {
		f.end(nil)
		return
	}
	f.end(func(c *Counts) { c.Broken++ })
}

func (f *flow) endSilent() {
	f.end(func(c *Counts) {
		c.Broken++
		c.Silent++
	})
}

// end ends the flow once. A flow whose zone was taken out is given up;
// otherwise fault counts why it ended. A flow that was closed has no fault.
func (f *flow) end(fault func(c *Counts)) {
	f.once.Do(func() {
		f.mu.Lock()
		zone, adopted := f.token.Zone, f.adopted
		f.mu.Unlock()

		if fault != nil {
			if f.zones.wasOut(zone, adopted) {
				fault = func(c *Counts) { c.GivenUp++ }
			}
			f.stats.count(fault)
		}
		close(f.ended)
		f.socket.remove(f.id)
	})
}

// service is the identity that answers must carry.
func (f *flow) service() uint64 {
	return ticket.ID(f.load.Service)
}
