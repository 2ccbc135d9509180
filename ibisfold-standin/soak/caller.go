package soak

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

const (
	// thinkTime is the pause between two requests.
	thinkTime = 40 * time.Millisecond
	// budget is a caller's time for a request.
	budget = 1500 * time.Millisecond
)

// repeatTimes are the waits after each copy of a packet.
var repeatTimes = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// caller stands in for a caller: one flow at a time, one request after the other.
type caller struct {
	world *world
	zone  string
	addr  netip.Addr
	conn  *net.UDPConn

	port   uint16
	key    segment.Key
	answer uint32
	seq    uint32
	ack    uint32
	number uint64
	// served is when the last request was answered, in Unix milliseconds.
	served atomic.Int64
	flows  atomic.Int64
	resets atomic.Int64
}

func newCaller(w *world, zone int, n int) (*caller, error) {
	addr := netip.AddrFrom4([4]byte{127, 10, byte(zone), byte(n)})
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, portPackets)))
	if err != nil {
		return nil, err
	}

	return &caller{
		world: w,
		zone:  zones[zone],
		addr:  addr,
		conn:  c,
		port:  1024,
	}, nil
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.open() {
			continue
		}
		for ctx.Err() == nil && c.request() {
			time.Sleep(thinkTime)
		}
	}
}

// open opens a flow and reports whether a target answered.
func (c *caller) open() bool {
	c.port++
	c.key = segment.KeyOf(netip.AddrPortFrom(c.addr, c.port), serviceAddress)
	c.seq = 1000
	s, ok := c.exchange(&segment.Segment{
		Key:   c.key,
		Flags: segment.SYN,
		Seq:   c.seq - 1,
	}, nil, time.Now().Add(budget))
	if !ok || !s.Flags.Has(segment.SYN) {
		return false
	}
	c.flows.Add(1)
	c.answer = s.Seq
	c.ack = s.Seq + 1

	return true
}

// request sends a request and reports whether it was answered.
func (c *caller) request() bool {
	c.number++
	data := requestData(c.number)
	s, ok := c.exchange(&segment.Segment{
		Key:   c.key,
		Flags: segment.ACK,
		Seq:   c.seq,
		Ack:   c.ack,
	}, data, time.Now().Add(budget))
	if !ok {
		return false
	}
	if s.Flags.Has(segment.RST) {
		c.resets.Add(1)
		c.world.judgeReset(c)

		return false
	}
	c.seq += requestBytes
	c.ack = s.Seq + requestBytes
	c.served.Store(time.Now().UnixMilli())

	return true
}

// exchange sends a packet with copies until an answer comes.
func (c *caller) exchange(s *segment.Segment, data []byte, end time.Time) (segment.Segment, bool) {
	for i, wait := range repeatTimes {
		x := *s
		if x.Opens() {
			x.Ack = uint32(i)
		}
		c.world.router.pass(c.zone, c.key, platform.AppendPacket(nil, &x, data))
		until := time.Now().Add(wait)
		if until.After(end) {
			until = end
		}
		if a, ok := c.await(s, data, until); ok {
			return a, true
		}
	}

	return segment.Segment{}, false
}

// await reads until the answer to s comes.
func (c *caller) await(s *segment.Segment, data []byte, until time.Time) (segment.Segment, bool) {
	b := make([]byte, maxDatagram)
	if err := c.conn.SetReadDeadline(until); err != nil {
		return segment.Segment{}, false
	}
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return segment.Segment{}, false
		}
		a, err := platform.FromTarget(b[:n])
		if err != nil {
			c.world.breaks("caller %v got %v", c.addr, err)
			continue
		}
		if a.Key != c.key {
			continue
		}
		switch {
		case a.Flags.Has(segment.RST):
			return a, true
		case s.Opens() && a.Flags.Has(segment.SYN):
			return a, true
		case !s.Opens() && a.Len > 0 && a.Ack == s.Seq+uint32(len(data)):
			if !bytes.Equal(b[platform.PacketHeaderBytes:n], data) {
				c.world.breaks("MIXED: caller %v got another answer than its own", c.addr)
			}

			return a, true
		}
	}
}
