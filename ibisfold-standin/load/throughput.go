// Package load measures how many packets per second an entry forwards, and compares the rate with
// that of a bare relay in the same run.
package load

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"

	"ibisfold.example/core/packet"
)

const (
	batchSize         = 64
	socketBufferBytes = 4 << 20
	// senders is the number of sending goroutines. Together they send more than one relay thread
	// can forward.
	senders = 2
)

// sink counts the datagrams that arrive at a socket.
type sink struct {
	conn  *net.UDPConn
	count atomic.Int64
}

func newSink(a netip.AddrPort) (*sink, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = c.SetReadBuffer(socketBufferBytes)
	s := &sink{
		conn: c,
	}
	go s.run()

	return s, nil
}

func (s *sink) addr() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (s *sink) run() {
	c := ipv4.NewPacketConn(s.conn)
	m := make([]ipv4.Message, batchSize)
	for i := range m {
		m[i].Buffers = [][]byte{make([]byte, packet.MaxBytes+packet.TunnelBytes)}
	}
	for {
		n, err := c.ReadBatch(m, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for i := range max(0, n) {
			// Shorter datagrams are control messages of the entry under test.
			if b := m[i].Buffers[0][:m[i].N]; len(b) >= minLoadBytes {
				s.count.Add(1)
			}
		}
	}
}

// minLoadBytes is a lower bound of the length of the load's packets.
const minLoadBytes = payloadBytes

// measureRate sends the packets to an address for the duration d, at most limit of them per
// sender, and returns the packets per second that arrived at the sink.
func measureRate(ctx context.Context, s *sink, to netip.AddrPort, packets [][]byte, d time.Duration, limit int) (float64, error) {
	ctx, stop := context.WithTimeout(ctx, d)
	defer stop()

	wg := sync.WaitGroup{}
	conns := []*net.UDPConn{}
	for range senders {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(to.Addr(), 0)))
		if err != nil {
			return 0, errors.Trace(err)
		}
		defer c.Close()
		_ = c.SetWriteBuffer(socketBufferBytes)
		conns = append(conns, c)
	}
	countAtStart, start := s.count.Load(), time.Now()
	for _, c := range conns {
		wg.Go(func() {
			send(ctx, c, to, packets, limit)
		})
	}
	wg.Wait()

	return float64(s.count.Load()-countAtStart) / time.Since(start).Seconds(), nil
}

// send sends the packets in a loop until limit of them are sent or ctx is done.
func send(ctx context.Context, c *net.UDPConn, to netip.AddrPort, packets [][]byte, limit int) {
	p := ipv4.NewPacketConn(c)
	m := make([]ipv4.Message, batchSize)
	for i := range m {
		m[i].Buffers = [][]byte{packets[i%len(packets)]}
		m[i].Addr = net.UDPAddrFromAddrPort(to)
	}
	for sent := 0; sent < limit && ctx.Err() == nil; sent += batchSize {
		_, _ = p.WriteBatch(m, 0)
	}
}
