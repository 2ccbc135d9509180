// Package udp reads and writes datagrams in batches. It decides which socket errors are
// transient, and reports when all datagrams that have arrived are handled.
package udp

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"

	"ibisfold.example/core/packet"
)

const (
	// BatchSize is the maximum number of datagrams per system call.
	BatchSize = 64
	// BufferBytes is the size of the buffer for one datagram with its tunnel header.
	BufferBytes = packet.MaxBytes + packet.TunnelBytes
	// socketBufferBytes is the size requested from the kernel for each socket's receive
	// buffer and send buffer.
	socketBufferBytes = 4 << 20
)

// Socket is a UDP socket with batched reads and writes. Reads and writes may
// run in different goroutines, each with its own Reader or Writer.
type Socket struct {
	conn      *net.UDPConn
	batch     *ipv4.PacketConn
	readiness *readiness
	// pending counts the batches of Pump for which Done was not called.
	pending atomic.Int32
}

// Listen binds a UDP socket.
func Listen(a netip.AddrPort) (*Socket, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}

	return newSocket(c, false)
}

// Dial binds a UDP socket to a free port of the address local and connects it to one peer.
func Dial(local netip.Addr, peer netip.AddrPort) (*Socket, error) {
	from := net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	c, err := net.DialUDP("udp", from, net.UDPAddrFromAddrPort(peer))
	if err != nil {
		return nil, errors.Annotate(err, "dial")
	}

	return newSocket(c, true)
}

func newSocket(c *net.UDPConn, connected bool) (*Socket, error) {
	// A smaller buffer than requested only means more packet loss under bursts.
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)

	raw, err := c.SyscallConn()
	if err != nil {
		return nil, errors.Annotate(err, "socket")
	}

	return &Socket{
		conn:      c,
		batch:     ipv4.NewPacketConn(c),
		readiness: newReadiness(raw, connected),
	}, nil
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort {
	a := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()

	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the socket and ends blocked reads.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// WriteTo sends one datagram.
func (s *Socket) WriteTo(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)

	return err
}

// Reader reads batches from a socket.
type Reader struct {
	socket   *Socket
	messages []ipv4.Message
}

// NewReader returns a reader with its own buffers.
func (s *Socket) NewReader() *Reader {
	r := &Reader{
		socket:   s,
		messages: make([]ipv4.Message, BatchSize),
	}
	for i := range r.messages {
		r.messages[i].Buffers = [][]byte{make([]byte, BufferBytes)}
	}

	return r
}

// Read waits for datagrams and returns their number. It returns 0 and no error if the
// deadline passes; a zero deadline means none.
func (r *Reader) Read(deadline time.Time) (int, error) {
	if err := r.socket.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}

	return r.read(0)
}

// read is like Read, with the deadline that is already set on the socket.
func (r *Reader) read(flags int) (int, error) {
	n, err := r.socket.batch.ReadBatch(r.messages, flags)
	if isTimeout(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}

	return n, nil
}

func isTimeout(err error) bool {
	t, ok := errors.AsType[net.Error](err)

	return ok && t.Timeout()
}

// Packet returns datagram i of the last batch and its sender. The bytes are valid until the
// next Read.
func (r *Reader) Packet(i int) ([]byte, netip.AddrPort) {
	m := &r.messages[i]
	a := m.Addr.(*net.UDPAddr).AddrPort()

	return m.Buffers[0][:m.N], netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Writer collects datagrams and sends them in batches.
type Writer struct {
	socket   *Socket
	messages []ipv4.Message
	buffers  [][]byte
	addrs    []net.UDPAddr
	// ips holds the bytes of the IP addresses in addrs.
	ips [][16]byte
	// used is the number of queued datagrams.
	used int
	// Failed counts datagrams that the kernel did not accept.
	Failed uint64
}

// NewWriter returns a writer with its own buffers.
func (s *Socket) NewWriter() *Writer {
	w := &Writer{
		socket:   s,
		messages: make([]ipv4.Message, BatchSize),
		buffers:  make([][]byte, BatchSize),
		addrs:    make([]net.UDPAddr, BatchSize),
		ips:      make([][16]byte, BatchSize),
	}
	for i := range w.messages {
		w.buffers[i] = make([]byte, 0, BufferBytes)
		w.messages[i].Buffers = make([][]byte, 1)
		w.messages[i].Addr = &w.addrs[i]
	}

	return w
}

// Next returns an empty buffer to which one datagram can be appended for Add.
func (w *Writer) Next() []byte {
	return w.buffers[w.used][:0]
}

// Add queues b, which was appended to Next, and flushes the batch if it is full.
func (w *Writer) Add(b []byte, to netip.AddrPort) {
	i := w.used
	w.messages[i].Buffers[0] = b
	w.ips[i] = to.Addr().As16()
	w.addrs[i].IP = w.ips[i][:]
	if to.Addr().Is4() {
		w.addrs[i].IP = w.ips[i][12:]
	}
	w.addrs[i].Port = int(to.Port())
	w.used++
	if w.used == len(w.messages) {
		w.Flush()
	}
}

// Flush sends the queued datagrams. UDP does not guarantee delivery, so a datagram that the
// kernel does not accept is only counted in Failed.
func (w *Writer) Flush() {
	for sent := 0; sent < w.used; {
		n, err := w.socket.batch.WriteBatch(w.messages[sent:w.used], 0)
		if err != nil || n == 0 {
			w.Failed++
			n = 1
		}
		sent += n
	}
	w.used = 0
}

// Discard drops the queued datagrams.
func (w *Writer) Discard() {
	w.used = 0
}
