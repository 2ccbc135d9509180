package callers

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/packet"
	"ibisfold.example/ibisfold-standin/delay"
)

const readBufferBytes = 1 << 20

// socket is a UDP socket that one or more flows share. It sends each packet to a random entry, and
// adds the delay between callers and entries in both directions.
type socket struct {
	conn    *net.UDPConn
	entries *Entries
	line    *delay.Line
	delay   time.Duration

	mu    sync.Mutex
	flows map[uint64]*flow
}

func newSocket(o *Options, line *delay.Line) (*socket, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(o.Listen, 0)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = c.SetReadBuffer(readBufferBytes)
	s := &socket{
		conn:    c,
		entries: o.Entries,
		line:    line,
		delay:   o.Delay,
		flows:   map[uint64]*flow{},
	}
	go s.read()

	return s, nil
}

func (s *socket) add(id uint64, f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.flows[id] = f
}

func (s *socket) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.flows, id)
}

func (s *socket) flow(id uint64) *flow {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.flows[id]
}

func (s *socket) send(p *packet.Packet) {
	b := p.Append(nil)
	s.line.After(s.delay, func() {
		if a := s.entries.pick(); a.IsValid() {
			_, _ = s.conn.WriteToUDPAddrPort(b, a)
		}
	})
}

func (s *socket) read() {
	b := make([]byte, packet.MaxBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		c := append([]byte(nil), b[:n]...)
		s.line.After(s.delay, func() {
			s.receive(c)
		})
	}
}

func (s *socket) receive(b []byte) {
	p := packet.Packet{}
	if p.Decode(b) != nil {
		return
	}
	if f := s.flow(p.Flow); f != nil {
		f.receive(&p)
	}
}
