package fabric

import (
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

func (f *Fabric) acceptTCP(to *port) {
	for {
		c, err := to.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go f.relayTCP(c, to)
	}
}

// relayTCP connects to the node and copies both directions of the stream. An unknown sender is
// treated as a node of another zone.
func (f *Fabric) relayTCP(in *net.TCPConn, to *port) {
	from := Node{}
	a, _ := netip.ParseAddrPort(in.RemoteAddr().String())
	if p := f.portOf(a.Addr().Unmap()); p != nil {
		from = p.node
	}
	if f.Path.Blocked(from, to.node) || f.Path.Blocked(to.node, from) {
		_ = in.Close()
		return
	}
	out, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(to.node.Listen))
	if err != nil {
		_ = in.Close()
		return
	}

	go f.copyStream(out, in, from, to.node)
	f.copyStream(in, out, to.node, from)
}

// copyStream copies one direction of a stream in order, each chunk after the delay of the path. It
// closes both connections when src ends or when a rule blocks the path.
func (f *Fabric) copyStream(dst, src *net.TCPConn, from, to Node) {
	const chunkBytes = 32 << 10

	for {
		b := make([]byte, chunkBytes)
		n, err := src.Read(b)
		if err != nil || f.Path.Blocked(from, to) {
			f.line.After(f.Path.ZoneDelay+f.Path.Jitter, func() {
				_ = dst.Close()
				_ = src.Close()
			})

			return
		}
		f.line.After(f.streamDelay(from, to), func() {
			_, _ = dst.Write(b[:n])
		})
	}
}

// streamDelay returns the delay of a chunk. It omits jitter, which would reorder the chunks.
func (f *Fabric) streamDelay(from, to Node) time.Duration {
	if from.Zone == to.Zone {
		return 0
	}

	return f.Path.ZoneDelay
}
