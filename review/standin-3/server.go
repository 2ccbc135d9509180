package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// workTime is how long a request takes.
	workTime = 5 * time.Millisecond
	// heartbeat is the time between two check-ins; an entry expires after three.
	heartbeat = 1200 * time.Millisecond
)

// serverFlow is a flow at a server.
type serverFlow struct {
	isn      uint32
	open     bool
	received uint32
	sent     uint32
	answered map[uint32][]byte
}

// server is an endpoint of a service, on the machine of one agent.
type server struct {
	log     *record
	store   *store
	addr    netip.AddrPort
	out     netip.AddrPort
	zone    string
	service string
	// keepID means that the server starts again under the id that it had.
	keepID bool
	// ahead is by how much the clock of the machine is ahead when the server starts.
	ahead time.Duration

	mu    sync.Mutex
	id    string
	seq   int
	born  int64
	live  bool
	conn  *net.UDPConn
	tcp   net.Listener
	flows map[[2]netip.AddrPort]*serverFlow
}

// start starts a new incarnation and registers it.
func (s *server) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.addr))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", s.addr.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	if s.id == "" || !s.keepID {
		s.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	s.seq = 0
	s.live = true
	s.conn, s.tcp = conn, l
	s.flows = map[[2]netip.AddrPort]*serverFlow{}
	s.born = time.Now().Add(s.ahead).UnixMilli()
	id := s.id
	s.mu.Unlock()
	go s.serveHealth(l)
	go s.serve(conn)
	s.register("ready")
	s.log.add("server %s starts at %v", id, s.addr)

	return nil
}

// register writes the server's entry.
func (s *server) register(state string) {
	s.seq++
	go s.store.put("servers/"+s.id, map[string]any{
		"Service":    s.service,
		"Address":    s.addr.String(),
		"Zone":       s.zone,
		"Version":    "v1",
		"Slots":      8,
		"State":      state,
		"ColdLeftMs": 0,
		"SeqNo":      s.seq,
		"born":       s.born,
	})
	s.log.add("server %s says that it is %s", s.id, state)
}

// crash ends the incarnation without a word. Its entry expires after three check-ins.
func (s *server) crash() {
	s.mu.Lock()
	s.live = false
	s.conn.Close()
	s.tcp.Close()
	id := s.id
	s.mu.Unlock()
	s.log.add("server %s crashes", id)
	time.AfterFunc(3*heartbeat, func() {
		s.mu.Lock()
		expired := !s.live || s.id != id
		s.mu.Unlock()
		if expired {
			s.store.remove("servers/" + id)
		}
	})
}

func (s *server) serveHealth(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			c.SetDeadline(time.Now().Add(time.Second))
			if n, _ := c.Read(make([]byte, 1024)); n > 0 {
				c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}()
	}
}

func (s *server) serve(conn *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, err := conn.Read(b)
		if err != nil {
			return
		}
		if p, ok := decode(b[:n]); ok {
			s.handle(conn, b[:n], &p)
		}
	}
}

func (s *server) send(conn *net.UDPConn, p *packet) {
	p.sum = rand.Uint32() | 1
	conn.WriteToUDPAddrPort(p.encode(), s.out)
}

// bounce returns a packet that the server can't take.
func (s *server) bounce(conn *net.UDPConn, raw []byte) {
	b := append([]byte{}, raw...)
	b[30] |= flagBounce
	b[31] = 0
	conn.WriteToUDPAddrPort(b, s.out)
}

func (s *server) handle(conn *net.UDPConn, raw []byte, p *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := [2]netip.AddrPort{p.src, p.dst}
	f, ok := s.flows[k]
	reply := packet{
		src:   p.dst,
		dst:   p.src,
		flags: flagACK,
	}
	switch {
	case p.flags&(flagSYN|flagACK) == flagSYN:
		if !ok {
			f = &serverFlow{
				isn:      rand.Uint32(),
				received: p.seq + 1,
				answered: map[uint32][]byte{},
			}
			f.sent = f.isn + 1
			s.flows[k] = f
		}
		reply.flags |= flagSYN
		reply.seq, reply.ack = f.isn, p.seq+1
		s.send(conn, &reply)
	case !ok || !f.open && p.ack != f.isn+1:
		s.bounce(conn, raw)
	case p.flags&flagRST != 0:
		delete(s.flows, k)
	case p.flags&flagFIN != 0:
		// The flow has ended here. Copies of the FIN get the same answer.
		f.open = true
		reply.flags |= flagFIN
		reply.seq, reply.ack = f.sent, p.seq+1
		s.send(conn, &reply)
	default:
		f.open = true
		if len(p.data) > 0 {
			s.request(conn, f, p, reply)
		}
	}
}

// request runs a request once and answers it; a copy gets the same answer again.
func (s *server) request(conn *net.UDPConn, f *serverFlow, p *packet, reply packet) {
	answer, ran := f.answered[p.seq]
	if ran && answer == nil {
		return
	}
	if ran {
		reply.seq, reply.ack, reply.data = f.sent-uint32(len(answer)), p.seq+uint32(len(p.data)), answer
		s.send(conn, &reply)

		return
	}
	f.answered[p.seq] = nil
	request := string(p.data)
	s.log.add("server %s runs %q", s.id, request)
	id := s.id
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.live || s.id != id {
			return
		}
		answer := []byte("done " + request)
		f.answered[p.seq] = answer
		f.received = p.seq + uint32(len(p.data))
		reply.seq, reply.ack, reply.data = f.sent, f.received, answer
		f.sent += uint32(len(answer))
		s.send(conn, &reply)
	})
}
