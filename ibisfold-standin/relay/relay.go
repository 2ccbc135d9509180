// Package relay forwards UDP datagrams in batches without looking at them. It is the baseline
// against which the throughput of an entry is measured.
package relay

import (
	"context"
	"net"
	"net/netip"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"

	"ibisfold.example/core/packet"
)

const (
	// batchSize is the maximum number of datagrams for each system call, as in an entry.
	batchSize         = 64
	socketBufferBytes = 4 << 20
)

// Relay forwards datagrams from one address to another. Like an entry, it reads from one socket
// and writes to a second one.
type Relay struct {
	in  *net.UDPConn
	out *net.UDPConn
	to  *net.UDPAddr
}

// New binds the sockets of a relay that reads from listen and sends to to. Run closes them.
func New(listen, to netip.AddrPort) (*Relay, error) {
	in, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Trace(err)
	}
	out, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(listen.Addr(), 0)))
	if err != nil {
		_ = in.Close()
		return nil, errors.Trace(err)
	}
	for _, c := range []*net.UDPConn{in, out} {
		_ = c.SetReadBuffer(socketBufferBytes)
		_ = c.SetWriteBuffer(socketBufferBytes)
	}

	return &Relay{
		in:  in,
		out: out,
		to:  net.UDPAddrFromAddrPort(to),
	}, nil
}

// Addr returns the address on which the relay receives.
func (r *Relay) Addr() netip.AddrPort {
	return r.in.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run relays until ctx is done. Errors of single reads and writes are ignored.
func (r *Relay) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() {
		_ = r.in.Close()
	})()
	defer r.out.Close()

	src, dst := ipv4.NewPacketConn(r.in), ipv4.NewPacketConn(r.out)
	messages := make([]ipv4.Message, batchSize)
	buffers := make([][]byte, batchSize)
	for i := range messages {
		buffers[i] = make([]byte, packet.MaxBytes)
		messages[i].Buffers = make([][]byte, 1)
	}
	for {
		for i := range messages {
			messages[i].Buffers[0] = buffers[i]
		}
		n, err := src.ReadBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		for i := range n {
			messages[i].Buffers[0] = buffers[i][:messages[i].N]
			messages[i].Addr = r.to
		}
		writeAll(dst, messages[:n])
	}
}

// writeAll sends all messages. It skips a message that the kernel refuses to send.
func writeAll(c *ipv4.PacketConn, m []ipv4.Message) {
	for len(m) > 0 {
		n, err := c.WriteBatch(m, 0)
		if err != nil || n == 0 {
			n = 1
		}
		m = m[n:]
	}
}
