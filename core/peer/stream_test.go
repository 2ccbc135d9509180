package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
)

// recordedConn is a connection that reads fixed bytes and records what is written.
type recordedConn struct {
	in  *bytes.Reader
	out bytes.Buffer
}

func (r *recordedConn) Read(b []byte) (int, error)  { return r.in.Read(b) }
func (r *recordedConn) Write(b []byte) (int, error) { return r.out.Write(b) }
func (r *recordedConn) Close() error                { return nil }

// newStreamPair returns the client and the server end of a stream over a pipe, and
// the client's end of the pipe.
func newStreamPair(t testing.TB, a, b *keyring.Keyring, d *Drops) (*stream, *stream, net.Conn) {
	t.Helper()
	x, y := net.Pipe()
	t.Cleanup(func() { _, _ = x.Close(), y.Close() })
	done := make(chan *stream)
	go func() {
		s, _ := newStream(y, b, false, d)
		done <- s
	}()
	c, err := newStream(x, a, true, &Drops{})
	if err != nil {
		t.Fatal(err)
	}

	return c, <-done, x
}

// encodeFrame returns the frame with which s would send v next, without sending it.
func encodeFrame(s *stream, v any) []byte {
	conn := s.conn
	r := &recordedConn{}
	s.conn = r
	_ = s.WriteObject(v)
	s.conn = conn

	return r.out.Bytes()
}

// TestStreamRejects guards against streams that accept frames which were forged,
// repeated, reordered, reflected to their sender or recorded on another connection.
func TestStreamRejects(t *testing.T) {
	keys := testKeys(t, 1)
	cases := []struct {
		name   string
		want   error
		frames func(client, server *stream) [][]byte
	}{
		{"valid", nil, func(c, _ *stream) [][]byte { return [][]byte{encodeFrame(c, 1), encodeFrame(c, 2)} }},
		{"repeated", ErrSequence, func(c, _ *stream) [][]byte {
			b := encodeFrame(c, 1)

			return [][]byte{b, b}
		}},
		{"reordered", ErrSequence, func(c, _ *stream) [][]byte {
			a, b := encodeFrame(c, 1), encodeFrame(c, 2)

			return [][]byte{b, a}
		}},
		{"reflected", ErrMAC, func(_, s *stream) [][]byte { return [][]byte{encodeFrame(s, 1)} }},
		{"forged", ErrMAC, func(c, _ *stream) [][]byte {
			b := encodeFrame(c, 1)
			b[len(b)-1] ^= 1

			return [][]byte{b}
		}},
		{"other connection", ErrMAC, func(c, _ *stream) [][]byte {
			o, _, _ := newStreamPair(t, keys, keys, &Drops{})

			return [][]byte{encodeFrame(o, 1)}
		}},
		{"too long", ErrTooLong, func(*stream, *stream) [][]byte {
			return [][]byte{bytes.Repeat([]byte{0xFF}, frameHeaderBytes)}
		}},
		{"not JSON", ErrMalformed, func(c, _ *stream) [][]byte {
			return [][]byte{encodeFrame(c, "text")}
		}},
	}

	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			d := &Drops{}
			c, s, conn := newStreamPair(t, keys, keys, d)
			go func() {
				for _, b := range v.frames(c, s) {
					_, _ = conn.Write(b)
				}
			}()
			n := 0
			err := s.ReadObject(&n)
			if err == nil {
				err = s.ReadObject(&n)
			}
			if v.want == nil {
				is.NoErr(err)
				is.Equal(n, 2)

				return
			}
			is.True(errors.Is(err, v.want))
			is.Equal(d.ByError(v.want), uint64(1))
		})
	}
}

// TestCall guards against calls that lose parameters, results or errors, and
// against servers that answer processes without a shared key.
func TestCall(t *testing.T) {
	is := is.New(t)
	keys := testKeys(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	s := NewServer(l, keys)
	s.Register("Double", func(_ context.Context, p json.RawMessage) (any, error) {
		n := 0
		if err := json.Unmarshal(p, &n); err != nil {
			return nil, ErrMalformed
		}

		return 2 * n, nil
	})
	got := make(chan mesh.Received, 1)
	s.RegisterWire(func(m mesh.Received) { got <- m })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()

	n := 0
	is.NoErr(Call(ctx, addr, keys, "Double", 21, &n))
	is.Equal(n, 42)
	is.True(Call(ctx, addr, keys, "Double", "text", &n) != nil)
	is.True(Call(ctx, addr, keys, "Missing", 21, &n) != nil)
	is.True(Call(ctx, addr, testKeys(t, 2), "Double", 21, &n) != nil)
	is.Equal(s.Drops.ByError(ErrMAC), uint64(1))

	from := netip.MustParseAddrPort("127.0.0.2:1")
	is.NoErr(SendWire(ctx, from, addr, keys, testWires[1]))
	is.Equal(<-got, mesh.Received{
		From: from,
		Body: testWires[1],
	})

	cancel()
	is.NoErr(<-done)
}

// FuzzStream guards against bytes that make the frame decoder panic, or that fail with
// an error which no drop reason counts.
func FuzzStream(f *testing.F) {
	keys := testKeys(f, 1)
	c, s, _ := newStreamPair(f, keys, keys, &Drops{})
	f.Add(encodeFrame(c, 1))
	f.Add(encodeFrame(c, map[string]string{
		"Method": "Status",
	}))
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		d := &Drops{}
		r := *s
		r.drops = d
		r.conn = &recordedConn{
			in: bytes.NewReader(b),
		}
		var v any
		for {
			err := r.ReadObject(&v)
			if errors.Is(err, io.EOF) {
				return
			}
			if err == nil {
				continue
			}
			n := uint64(0)
			d.Each(func(_ string, k uint64) { n += k })
			if n != 1 {
				t.Fatalf("error without a reason: %v", err)
			}

			return
		}
	})
}
