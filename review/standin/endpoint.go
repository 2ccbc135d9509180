package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

const (
	// heartbeat is the interval at which an endpoint writes to the store.
	heartbeat = 1200 * time.Millisecond
	// maxDatagram is the size of receive buffers, in bytes.
	maxDatagram = 2048
)

// endpoint stands in for a server beside an agent. It keeps flows with the rules of the
// users' pages; each request fits into one packet.
type endpoint struct {
	world   *world
	machine *machine
	id      string
	// born is what the endpoint tells of its start, in Unix milliseconds of its clock.
	born int64
	// workTime is how long a request takes.
	workTime time.Duration

	conn     *net.UDPConn
	outbound *net.UDPAddr
	health   *http.Server

	mu    sync.Mutex
	flows map[segment.Key]*endpointFlow
	// era is that of the store's last answer.
	era int
	// stopped ends the check-ins.
	stopped bool
	done    chan struct{}
}

// endpointFlow is a flow that the endpoint holds.
type endpointFlow struct {
	// seq is the sequence number of the SYN+ACK; next is that of the next data to send, and
	// expected that of the next data of the client.
	seq      uint32
	next     uint32
	expected uint32
	open     bool
	// lastAnswer is sent again if the client repeats its last request.
	lastAnswer []byte
}

// startEndpoint starts the endpoint of a machine. Its clock is ahead of the true time by
// clockError.
func startEndpoint(m *machine, id string, clockError time.Duration) (*endpoint, error) {
	app := m.addr(offsetApp)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", app.String())
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		world:    m.world,
		machine:  m,
		id:       id,
		born:     time.Now().Add(clockError).UnixMilli(),
		workTime: 20 * time.Millisecond,
		conn:     c,
		outbound: net.UDPAddrFromAddrPort(m.addr(offsetOutbound)),
		flows:    map[segment.Key]*endpointFlow{},
		done:     make(chan struct{}),
	}
	e.health = &http.Server{
		// A health call to an endpoint that runs is answered with 200.
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	go func() {
		_ = e.health.Serve(l)
	}()
	go e.run()
	go e.checkIn()
	m.world.record("endpoint %s of %s starts at %v", id, m.service, app)

	return e, nil
}

// checkIn writes the endpoint's entry at each heartbeat, and again after the store came back
// from a copy.
func (e *endpoint) checkIn() {
	for {
		e.write()
		select {
		case <-time.After(heartbeat):
		case <-e.done:
			return
		}
	}
}

func (e *endpoint) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	v, err := json.Marshal(struct {
		Service, Address, Zone, Version string
		Slots                           int
		State                           string
		ColdLeftMs                      int64
		SeqNo                           int
		Born                            int64 `json:"born"`
	}{
		Service: e.machine.service,
		Address: e.machine.addr(offsetApp).String(),
		Zone:    zones[e.machine.zone],
		Version: "v1",
		Slots:   4,
		State:   "ready",
		// An entry changes when more than SeqNo changes, so the stored one keeps its SeqNo.
		SeqNo: 1,
		Born:  e.born,
	})
	if err != nil {
		panic(err)
	}
	era := e.world.store.beat("servers/"+e.id, v, 3*heartbeat, false)
	if era != 0 && e.era != 0 && era != e.era {
		e.world.store.beat("servers/"+e.id, v, 3*heartbeat, true)
	}
	if era != 0 {
		e.era = era
	}
}

// stop ends the endpoint: it closes its ports and forgets its flows.
func (e *endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.stopped = true
	close(e.done)
	_ = e.conn.Close()
	_ = e.health.Close()
	e.flows = map[segment.Key]*endpointFlow{}
	e.world.record("endpoint %s ends", e.id)
}

// holds reports whether the endpoint holds an open flow that began with seq.
func (e *endpoint) holds(k segment.Key, seq uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.flows[k]

	return ok && f.open && f.seq == seq && !e.stopped
}

func (e *endpoint) run() {
	b := make([]byte, maxDatagram)
	for {
		n, err := e.conn.Read(b)
		if err != nil {
			return
		}
		s, err := platform.FromCaller(b[:n])
		if err != nil {
			e.world.violate("UNASKED", "endpoint %s got a packet of %d bytes: %v", e.id, n, err)
			continue
		}
		e.handle(&s, b[:n])
	}
}

func (e *endpoint) handle(s *segment.Segment, packet []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	f, ok := e.flows[s.Key]
	switch {
	case s.Opens():
		e.open(s)
	case !ok || !f.open && s.Ack != f.seq+1:
		bounced := append([]byte(nil), packet...)
		bounced[30] |= 64
		bounced[31] = 0
		e.send(bounced)
	default:
		if !f.open {
			f.open = true
			e.world.opened(e, s.Key, f.seq)
		}
		if s.Flags.Has(segment.RST) {
			delete(e.flows, s.Key)

			return
		}
		if s.Len > 0 {
			e.request(f, s, string(packet[platform.PacketHeaderBytes:]))
		}
	}
}

func (e *endpoint) open(s *segment.Segment) {
	f, ok := e.flows[s.Key]
	if !ok {
		seq := rand.Uint32()
		f = &endpointFlow{
			seq:      seq,
			next:     seq + 1,
			expected: s.Seq + 1,
		}
		e.flows[s.Key] = f
		e.world.tookSYN(e, s.Key)
	}
	e.send(platform.AppendPacket(nil, &segment.Segment{
		Key:        s.Key,
		FromTarget: true,
		Flags:      segment.SYN | segment.ACK,
		Seq:        f.seq,
		Ack:        s.Seq + 1,
	}, nil))
}

// request runs a request, or acknowledges the copy of one that arrived before.
func (e *endpoint) request(f *endpointFlow, s *segment.Segment, text string) {
	if s.Seq != f.expected {
		if f.lastAnswer != nil && s.Seq+uint32(s.Len) == f.expected {
			e.send(f.lastAnswer)

			return
		}
		e.send(platform.AppendPacket(nil, &segment.Segment{
			Key:        s.Key,
			FromTarget: true,
			Flags:      segment.ACK,
			Seq:        f.next,
			Ack:        f.expected,
		}, nil))

		return
	}
	f.expected += uint32(s.Len)
	f.lastAnswer = nil
	id := requestID(text)
	e.world.ran(e, s.Key, id)
	body := fmt.Sprintf("%s %s %s", e.machine.service, e.id, id)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", e.id, id, len(body), body)
	x := segment.Segment{
		Key:        s.Key,
		FromTarget: true,
		Flags:      segment.ACK,
		Seq:        f.next,
		Ack:        f.expected,
	}
	f.next += uint32(len(answer))
	time.AfterFunc(e.workTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stopped {
			return
		}
		f.lastAnswer = platform.AppendPacket(nil, &x, []byte(answer))
		e.send(f.lastAnswer)
	})
}

func (e *endpoint) send(b []byte) {
	// Nothing listens while the agent's process is down; the packet is lost then.
	_, _ = e.conn.WriteToUDP(b, e.outbound)
}

// requestID returns the value of the header Request-Id.
func requestID(text string) string {
	_, rest, _ := strings.Cut(text, "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")

	return id
}

func addrPort(a netip.Addr, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a, port)
}
