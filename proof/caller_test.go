package proof_test

import (
	"bytes"
	"net/netip"
	"time"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

const (
	firstRetryDelay = 200 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	// requestTimeout is the deadline that callers ask for.
	requestTimeout = 10 * time.Second
	callerDelay    = time.Millisecond
)

// caller is a model of a caller. It holds one flow and has at most one request
// in progress.
type caller struct {
	w       *world
	addr    netip.AddrPort
	service string
	address netip.AddrPort
	flow    uint64
	token   packet.Token
	state   callerState
	// opened is when the flow was established.
	opened time.Duration
	// number is the number of the last request; pending is true until the request
	// has ended.
	number     uint64
	pending    bool
	sent       time.Duration
	idempotent bool
	parts      map[uint32][]byte
	// answers counts complete answers.
	answers int
	// generation changes with each new packet, which ends the retries of
	// earlier ones.
	generation uint64
	// retryAt is when a refused caller may send its next request.
	retryAt time.Duration
	// sentPackets holds the last packets sent, for late copies.
	sentPackets []packet.Packet
	// idleUntil is the end of a time without requests.
	idleUntil time.Duration
}

type callerState int

const (
	callerOpening callerState = iota
	callerOpen
	callerReset
	callerClosed
)

func (w *world) addCaller(service string, address netip.AddrPort) *caller {
	i := len(w.callers) + 1
	c := &caller{
		w:       w,
		addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)}), 9),
		service: service,
		address: address,
		flow:    w.rand.Uint64() | 1,
	}
	w.callers = append(w.callers, c)
	c.open()

	return c
}

func (w *world) callerAt(a netip.AddrPort) *caller {
	ip := a.Addr().As4()
	i := int(ip[2])<<8 | int(ip[3])
	if i < 1 || i > len(w.callers) {
		return nil
	}

	return w.callers[i-1]
}

func (c *caller) open() {
	c.state = callerOpening
	c.retransmit(packet.Packet{
		Kind: packet.Open,
	}, func() bool {
		return c.state == callerOpening
	})
}

func (c *caller) requestPayload(number uint64) requestPayload {
	return requestPayload{
		service:    ticket.ID(c.service),
		flow:       c.flow,
		number:     number,
		idempotent: c.idempotent,
	}
}

// request sends one request if the flow is open and idle.
func (c *caller) request(idempotent bool) {
	if c.state != callerOpen || c.pending || c.w.Now < c.retryAt || c.w.Now < c.idleUntil {
		return
	}
	c.number++
	c.pending = true
	c.idempotent = idempotent
	c.sent = c.w.Now
	c.parts = map[uint32][]byte{}
	number := c.number
	c.retransmit(packet.Packet{
		Kind:       packet.Request,
		Request:    number,
		Idempotent: idempotent,
		Payload:    c.requestPayload(number).encode(),
	}, func() bool {
		return c.pending && c.number == number && c.state == callerOpen
	})
}

func (c *caller) close() {
	if c.state != callerOpen || c.pending {
		return
	}
	c.state = callerClosed
	p := packet.Packet{
		Kind: packet.Close,
	}
	c.transmit(p, 0)
}

// retransmit sends p and repeats it with growing delays while wanted returns true.
func (c *caller) retransmit(p packet.Packet, wanted func() bool) {
	c.generation++
	generation := c.generation
	var send func(attempt uint32, d time.Duration)
	send = func(attempt uint32, d time.Duration) {
		if c.generation != generation || !wanted() {
			return
		}
		if p.Kind == packet.Request && c.w.Now-c.sent > requestTimeout+maxRetryDelay {
			c.pending = false

			return
		}
		c.transmit(p, attempt)
		c.w.After(d, func() {
			send(attempt+1, min(2*d, maxRetryDelay))
		})
	}
	send(0, firstRetryDelay)
}

// transmit sends one copy of p through an entry that the fabric picks at random;
// the entry may be dead.
func (c *caller) transmit(p packet.Packet, attempt uint32) {
	p.Service = c.address
	p.Flow = c.flow
	p.Token = c.token
	p.Attempt = attempt
	p.Tenant = []byte("shop")
	if p.Kind == packet.Request {
		p.Deadline = max(time.Millisecond, requestTimeout-(c.w.Now-c.sent))
	}
	const kept = 8
	if len(c.sentPackets) == kept {
		c.sentPackets = c.sentPackets[1:]
	}
	c.sentPackets = append(c.sentPackets, p)
	c.carry(p)
}

// carry hands a packet to the fabric.
func (c *caller) carry(p packet.Packet) {
	e := c.w.entries[c.w.rand.IntN(len(c.w.entries))]
	c.w.carry(callerDelay, func() {
		c.w.deliver(e.addr, callerMessage{
			from:   c,
			packet: p,
		})
	})
}

func (c *caller) handle(p packet.Packet) {
	c.w.record('c', c.flow, uint64(p.Kind), p.Request, uint64(p.Status))
	if p.Flow != c.flow {
		c.w.oracle.fail("answer", "caller got a packet of another flow")

		return
	}
	switch p.Kind {
	case packet.Opened:
		if c.state == callerOpening {
			c.state = callerOpen
			c.token = p.Token
			c.opened = c.w.Now
			c.w.oracle.opened(c)
		}
	case packet.Moved:
		if c.state == callerOpen && !p.Token.IsZero() {
			c.token = p.Token
		}
	case packet.Answer:
		c.answer(p)
	case packet.Refused:
		c.refused(p)
	case packet.Reset:
		c.reset(p)
	}
}

func (c *caller) answer(p packet.Packet) {
	if c.state == callerOpen && !p.Token.IsZero() {
		c.token = p.Token
	}
	if !c.pending || p.Request != c.number {
		return
	}
	c.parts[p.Part] = bytes.Clone(p.Payload)
	if len(c.parts) < int(p.Parts) {
		return
	}
	c.pending = false
	c.answers++
	c.w.oracle.answered(c, c.number, c.parts, p.Parts)
}

func (c *caller) refused(p packet.Packet) {
	if c.state == callerOpening {
		return
	}
	if !c.pending || p.Request != c.number {
		return
	}
	c.pending = false
	c.retryAt = c.w.Now + p.RetryAfter
	c.w.oracle.refused(c, c.number, p.Status)
}

// reset ends the flow, unless the packet answers a copy that carried the token of
// another owner.
func (c *caller) reset(p packet.Packet) {
	if c.state != callerOpen || !p.Token.IsZero() && !sameOwner(p.Token, c.token) {
		return
	}
	c.state = callerReset
	if c.pending {
		c.pending = false
		c.w.oracle.refused(c, c.number, p.Status)
	}
	c.w.oracle.reset(c)
}

// sameOwner reports whether two tokens name the same owner, whichever key signed
// them.
func sameOwner(a, b packet.Token) bool {
	return a.Agent == b.Agent && a.Service == b.Service && a.Target == b.Target && a.Incarnation == b.Incarnation
}
