package fabric

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func node(t *testing.T, zone, ip string) (Node, *net.UDPConn) {
	t.Helper()
	is := is.New(t)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(ip+":0")))
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	a, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(ip+":0")))
	is.NoErr(err)
	defer a.Close()

	return Node{
		Zone:      zone,
		Listen:    c.LocalAddr().(*net.UDPAddr).AddrPort(),
		Advertise: a.LocalAddr().(*net.UDPAddr).AddrPort(),
	}, c
}

// TestRelayKeepsSender guards against datagrams that arrive from an address other than the
// sender's advertised one, so that the receiver could not reply.
func TestRelayKeepsSender(t *testing.T) {
	is := is.New(t)
	f := New(NewPath(0, 0, 1))
	defer f.Close()
	a, ca := node(t, "iphofen", "127.60.0.1")
	b, cb := node(t, "escherndorf", "127.60.0.2")
	is.NoErr(f.Add(a))
	is.NoErr(f.Add(b))
	is.True(f.Add(a) != nil)

	buf := make([]byte, 16)
	_, err := ca.WriteToUDPAddrPort([]byte("hello"), b.Advertise)
	is.NoErr(err)
	n, from, err := cb.ReadFromUDPAddrPort(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "hello")
	is.Equal(from, a.Advertise)

	_, err = cb.WriteToUDPAddrPort([]byte("back"), from)
	is.NoErr(err)
	n, _, err = ca.ReadFromUDPAddrPort(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "back")
}

// TestStreamRelay guards against a fabric that loses or reorders bytes of a stream.
func TestStreamRelay(t *testing.T) {
	is := is.New(t)
	f := New(NewPath(time.Millisecond, 0, 1))
	defer f.Close()
	a, _ := node(t, "iphofen", "127.60.0.3")
	is.NoErr(f.Add(a))
	l, err := net.Listen("tcp", a.Listen.String())
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("stream"))
		_ = c.Close()
	}()

	c, err := net.Dial("tcp", a.Advertise.String())
	is.NoErr(err)
	defer c.Close()
	b := make([]byte, 6)
	_, err = io.ReadFull(c, b)
	is.NoErr(err)
	is.Equal(string(b), "stream")
}

// TestRules guards against rules that match the wrong direction, zone or pair of processes.
func TestRules(t *testing.T) {
	a := Node{Zone: "a", Advertise: netip.MustParseAddrPort("127.2.1.1:7100")}
	b := Node{Zone: "b", Advertise: netip.MustParseAddrPort("127.2.2.1:7100")}
	c := Node{Zone: "b", Advertise: netip.MustParseAddrPort("127.2.2.2:7100")}
	cases := []struct {
		name     string
		rule     Rule
		from, to Node
		lost     bool
	}{
		{name: "zones", rule: Rule{From: "a", To: "b", Loss: 1}, from: a, to: b, lost: true},
		{name: "zones back", rule: Rule{From: "a", To: "b", Loss: 1}, from: b, to: a, lost: true},
		{name: "within a zone", rule: Rule{From: "a", To: "b", Loss: 1}, from: b, to: c},
		{name: "one way", rule: Rule{From: "a", To: "b", Loss: 1, OneWay: true}, from: a, to: b, lost: true},
		{name: "one way back", rule: Rule{From: "a", To: "b", Loss: 1, OneWay: true}, from: b, to: a},
		{name: "pair", rule: Rule{From: "a", To: "127.2.2.1:7100", Loss: 1}, from: a, to: b, lost: true},
		{name: "other pair", rule: Rule{From: "a", To: "127.2.2.1:7100", Loss: 1}, from: a, to: c},
		{name: "all", rule: Rule{Loss: 1}, from: b, to: c, lost: true},
		{name: "no loss", rule: Rule{Delay: time.Second}, from: b, to: c},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPath(time.Millisecond, 0, 1)
			p.SetRules([]Rule{x.rule})
			_, lost := p.Next(x.from, x.to)
			is.Equal(lost, x.lost)
			is.Equal(p.Blocked(x.from, x.to), x.lost)
		})
	}
}

// TestPathIsReproducible guards against delays and losses that differ between two runs with the
// same seed.
func TestPathIsReproducible(t *testing.T) {
	is := is.New(t)
	a, b := Node{Zone: "a"}, Node{Zone: "b"}
	paths := [2]*Path{}
	for i := range paths {
		paths[i] = NewPath(time.Millisecond, time.Millisecond, 7)
		paths[i].SetRules([]Rule{{Loss: 0.3, Jitter: time.Second}})
	}
	losses := 0
	for range 1000 {
		d, lost := paths[0].Next(a, b)
		otherDelay, otherLost := paths[1].Next(a, b)
		is.Equal(d, otherDelay)
		is.Equal(lost, otherLost)
		if lost {
			losses++
		}
	}
	is.True(losses > 200 && losses < 400)
}

// TestAdminRules guards against an admin endpoint that ignores fields of a rule.
func TestAdminRules(t *testing.T) {
	is := is.New(t)
	f := New(NewPath(0, 0, 1))
	defer f.Close()
	w := httptest.NewRecorder()
	body := strings.NewReader(`[{"From":"a","Loss":1,"OneWay":true,"DelayMs":5}]`)
	f.AdminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/admin/rules", body))
	is.Equal(w.Code, http.StatusOK)
	d, lost := f.Path.Next(Node{Zone: "a"}, Node{Zone: "a"})
	is.Equal(d, 5*time.Millisecond)
	is.True(lost)
}
