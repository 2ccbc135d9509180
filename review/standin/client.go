package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

// Times of a client, from the users' pages.
const (
	openTime     = 1400 * time.Millisecond
	minResend    = 200 * time.Millisecond
	maxResend    = 1600 * time.Millisecond
	requestTime  = 1500 * time.Millisecond
	readyTimeout = 200 * time.Millisecond
	readyPeriod  = 500 * time.Millisecond
)

// synCopies are the times after a SYN at which its copies are sent.
var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// routers forward clients' packets to the frontends of a zone by rendezvous hashing over
// those that are in rotation, or over all of them if fewer than half are.
type routers struct {
	mu       sync.Mutex
	entries  []*machine
	rotation map[*machine]bool
	misses   map[*machine]int
	conn     *net.UDPConn
}

// poll makes the readiness calls until done is closed.
func (r *routers) poll(done <-chan struct{}) {
	c := &http.Client{
		Timeout: readyTimeout,
	}
	for {
		r.mu.Lock()
		entries := slices.Clone(r.entries)
		r.mu.Unlock()
		for _, m := range entries {
			ready := m.ready(c)
			r.mu.Lock()
			r.misses[m]++
			if ready {
				r.misses[m] = 0
			}
			if in := r.misses[m] < 2; in != r.rotation[m] {
				r.rotation[m] = in
				m.world.record("rotation %s %v", m.name, in)
			}
			r.mu.Unlock()
		}
		select {
		case <-time.After(readyPeriod):
		case <-done:
			return
		}
	}
}

// pick returns the frontend that gets the packets of a flow from a zone.
func (r *routers) pick(zone int, k segment.Key) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, in := []*machine{}, []*machine{}
	for _, m := range r.entries {
		if m.zone != zone {
			continue
		}
		all = append(all, m)
		if r.rotation[m] {
			in = append(in, m)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	best, bestHash := (*machine)(nil), uint64(0)
	for _, m := range in {
		if h := segment.Mix(k.Hash() ^ segment.Mix(uint64(m.zone*100+m.index))); best == nil || h > bestHash {
			best, bestHash = m, h
		}
	}

	return best
}

func (r *routers) forward(zone int, k segment.Key, b []byte) *machine {
	m := r.pick(zone, k)
	if m != nil {
		// A packet that can't be sent is lost, as on a real network.
		_, _ = r.conn.WriteToUDPAddrPort(b, m.addr(offsetData))
	}

	return m
}

// client has its own address and opens flows from new ports.
type client struct {
	world *world
	zone  int
	addr  netip.Addr
	conn  *net.UDPConn
	port  uint16
}

func newClient(w *world, zone, index int) (*client, error) {
	a := w.network.client(zone, index)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addrPort(a, w.network.port+offsetData)))
	if err != nil {
		return nil, err
	}

	return &client{
		world: w,
		zone:  zone,
		addr:  a,
		conn:  c,
		port:  20000,
	}, nil
}

// clientFlow is a flow that a client has opened.
type clientFlow struct {
	key       segment.Key
	serverSeq uint32
	seq       uint32
	ack       uint32
	// sentAt is when the first SYN was sent, entry the frontend that got it.
	sentAt time.Time
	entry  *machine
	reset  bool
}

// open opens a flow to a service address. It returns nil if no endpoint answered.
func (c *client) open(to netip.AddrPort) *clientFlow {
	c.port++
	f := &clientFlow{
		key:    segment.KeyOf(addrPort(c.addr, c.port), to),
		seq:    1000,
		sentAt: time.Now(),
	}
	c.world.sentSYN(f.key, f.sentAt)
	send := func(copies int) {
		m := c.world.routers.forward(c.zone, f.key, platform.AppendPacket(nil, &segment.Segment{
			Key:   f.key,
			Flags: segment.SYN,
			Seq:   f.seq - 1,
			Ack:   uint32(copies),
		}, nil))
		if copies == 0 {
			f.entry = m
			c.world.through(f.key, m)
		}
	}
	send(0)
	for i, at := range append(synCopies, openTime) {
		s, _, ok := c.read(f.key, f.sentAt.Add(at))
		switch {
		case ok && s.Flags.Has(segment.RST):
			c.world.record("refused  %v", f.key)

			return nil
		case ok && s.Flags.Has(segment.SYN):
			f.serverSeq = s.Seq
			f.ack = s.Seq + 1

			return f
		case i < len(synCopies):
			send(i + 1)
		}
	}
	c.world.record("no flow  %v", f.key)

	return nil
}

// request sends a request on a flow and returns its answer; false if there is none.
func (c *client) request(f *clientFlow, id string) (string, bool) {
	text := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: service\r\nRequest-Id: %s\r\n\r\n", id)
	c.world.sent(f.key, id)
	b := platform.AppendPacket(nil, &segment.Segment{
		Key:   f.key,
		Flags: segment.ACK,
		Seq:   f.seq,
		Ack:   f.ack,
	}, []byte(text))
	end := time.Now().Add(requestTime)
	wait := minResend
	acked := false
	for time.Now().Before(end) {
		if !acked {
			c.world.routers.forward(c.zone, f.key, b)
		}
		until := time.Now().Add(wait)
		wait = min(2*wait, maxResend)
		if until.After(end) {
			until = end
		}
		for time.Now().Before(until) {
			s, data, ok := c.read(f.key, until)
			if !ok {
				break
			}
			if s.Flags.Has(segment.RST) {
				if d := int32(s.Seq - f.ack); d >= -76800 && d <= 76800 {
					f.reset = true
					c.world.wasReset(f, id)

					return "", false
				}
				continue
			}
			if s.Len == 0 && s.Ack == f.seq+uint32(len(text)) {
				acked = true
			}
			if s.Len > 0 && s.Seq == f.ack {
				f.seq += uint32(len(text))
				f.ack += uint32(s.Len)
				c.world.answered(f.key, id, string(data))
				c.world.routers.forward(c.zone, f.key, platform.AppendPacket(nil, &segment.Segment{
					Key:   f.key,
					Flags: segment.ACK,
					Seq:   f.seq,
					Ack:   f.ack,
				}, nil))

				return string(data), true
			}
		}
	}
	c.world.record("no reply %v %s", f.key, id)

	return "", false
}

// read returns the next packet of a flow that arrives before the deadline.
func (c *client) read(k segment.Key, until time.Time) (segment.Segment, []byte, bool) {
	b := make([]byte, maxDatagram)
	if err := c.conn.SetReadDeadline(until); err != nil {
		return segment.Segment{}, nil, false
	}
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return segment.Segment{}, nil, false
		}
		s, err := platform.FromTarget(b[:n])
		if err != nil {
			c.world.violate("MIXED", "client %v got %v", c.addr, err)
			continue
		}
		if s.Key == k {
			return s, b[platform.PacketHeaderBytes:n], true
		}
	}
}

// checkAnswer reports whether the answer is the one to the request with id.
func checkAnswer(answer, id string) bool {
	return strings.Contains(answer, "Request-Id: "+id+"\r\n") && strings.HasSuffix(answer, " "+id)
}
