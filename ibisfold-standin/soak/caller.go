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
	// thinkTime is the pause between an answer and the caller's next request, idleTime that of a
	// caller whose flow is mostly idle.
	thinkTime = 40 * time.Millisecond
	idleTime  = 3 * time.Second
	// requestTimeout bounds the wait for the answer to a SYN or a request.
	requestTimeout = 1500 * time.Millisecond
	// refusedPause is the pause after a refused SYN.
	refusedPause = 100 * time.Millisecond
)

// resendIntervals are the waits for an answer after the first transmission of a packet and
// after each retransmission.
var resendIntervals = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// caller simulates a caller that has one flow open at a time and sends one request after
// the other on it.
type caller struct {
	testbed *testbed
	zone    string
	addr    netip.Addr
	conn    *net.UDPConn
	// to is the address that the caller calls.
	to netip.AddrPort
	// via is the entry that gets all packets; nil if the router decides.
	via *vm
	// think is the pause between an answer and the next request.
	think time.Duration

	// port and key identify the current flow. targetSeq is the sequence number of the
	// target's SYN, seq and ack are those of the next request.
	port      uint16
	key       segment.Key
	targetSeq uint32
	seq       uint32
	ack       uint32
	// refused means that the last SYN was answered with a reset, closed that the target has
	// closed the flow.
	refused bool
	closed  bool
	// requestNumber counts the requests on all flows.
	requestNumber uint64
	// lastAnswered is when the last request was answered, in Unix milliseconds.
	lastAnswered atomic.Int64
	// flows counts the opened flows, resets those that were reset.
	flows  atomic.Int64
	resets atomic.Int64
}

// Second bytes of the loopback addresses of callers, and of probers.
const (
	callerNetwork = 10
	proberNetwork = 11
)

// newCaller returns caller n of a zone, which listens on its own loopback address of a network.
func newCaller(b *testbed, zone, network, n int) (*caller, error) {
	addr := netip.AddrFrom4([4]byte{127, byte(network), byte(zone), byte(n)})
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, portPackets)))
	if err != nil {
		return nil, err
	}

	return &caller{
		testbed: b,
		zone:    zones[zone],
		addr:    addr,
		conn:    c,
		to:      serviceAddress,
		think:   thinkTime,
		port:    1024,
	}, nil
}

// run opens flows and sends requests on them until ctx is done. It opens another flow when
// a request fails.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.open() {
			if c.refused {
				time.Sleep(refusedPause)
			}
			continue
		}
		for ctx.Err() == nil && c.request() && !c.closed {
			select {
			case <-time.After(c.think):
			case <-c.testbed.router.nextAdmission():
			}
		}
	}
}

// open opens a flow and reports whether a target answered.
func (c *caller) open() bool {
	c.port++
	c.key = segment.KeyOf(netip.AddrPortFrom(c.addr, c.port), c.to)
	c.seq = 1000
	s, ok := c.exchange(&segment.Segment{
		Key:   c.key,
		Flags: segment.SYN,
		Seq:   c.seq - 1,
	}, nil, time.Now().Add(requestTimeout))
	c.closed = false
	c.refused = ok && !s.Flags.Has(segment.SYN)
	if c.refused {
		c.testbed.checkRefused(c)
	}
	if !ok || c.refused {
		return false
	}
	c.flows.Add(1)
	c.targetSeq = s.Seq
	c.ack = s.Seq + 1

	return true
}

// request sends a request and reports whether it was answered.
func (c *caller) request() bool {
	c.requestNumber++
	data := requestData(c.requestNumber)
	s, ok := c.exchange(&segment.Segment{
		Key:   c.key,
		Flags: segment.ACK,
		Seq:   c.seq,
		Ack:   c.ack,
	}, data, time.Now().Add(requestTimeout))
	if !ok {
		return false
	}
	if s.Flags.Has(segment.RST) {
		c.resets.Add(1)
		c.testbed.checkReset(c)

		return false
	}
	c.seq += requestBytes
	c.ack = s.Seq + requestBytes
	c.closed = s.Flags.Has(segment.FIN)
	c.lastAnswered.Store(time.Now().UnixMilli())

	return true
}

// exchange sends a packet and retransmits it after each of resendIntervals until an answer
// arrives, at the latest until end. It reports whether an answer arrived.
func (c *caller) exchange(s *segment.Segment, data []byte, end time.Time) (segment.Segment, bool) {
	for i, wait := range resendIntervals {
		x := *s
		if x.Opens() {
			// A SYN holds the number of its earlier copies in Ack.
			x.Ack = uint32(i)
		}
		entry := c.entry()
		if x.Opens() {
			c.testbed.openings.add(c.key, entry)
		}
		c.testbed.router.send(entry, platform.AppendPacket(nil, &x, data))
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

// entry returns the entry that gets the next packet; nil if there is none.
func (c *caller) entry() *vm {
	if c.via != nil {
		return c.via
	}

	return c.testbed.router.pick(c.zone, c.key)
}

// await reads packets until the answer to s arrives, and reports whether it did before
// the deadline until. A reset of the flow counts as an answer.
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
			c.testbed.addViolation("caller %v got %v", c.addr, err)
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
				c.testbed.addViolation("MIXED: caller %v got another answer than its own", c.addr)
			}

			return a, true
		}
	}
}
