package udp

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that ends because the port of its target is closed, and against
// one that keeps running although its own socket is closed.
func TestPumpOutlivesErrors(t *testing.T) {
	is := is.New(t)
	closed, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	is.NoErr(err)
	to := closed.LocalAddr().(*net.UDPAddr).AddrPort()
	is.NoErr(closed.Close())
	s, err := Dial(netip.MustParseAddr("127.0.0.1"), to)
	is.NoErr(err)

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out := make(chan Batch)
	ended := make(chan error, 1)
	go func() {
		ended <- s.Pump(ctx, out)
	}()
	_, err = s.conn.Write([]byte{1})
	is.NoErr(err)
	b := <-out
	is.True(b.Refused)
	is.NoErr(b.Err)
	b.Done()

	is.NoErr(s.Close())
	is.True(<-ended != nil)
}
