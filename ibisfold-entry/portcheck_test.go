package main

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/steer"
)

// listen listens at an address with the port, or with any port if it is zero.
func listen(t *testing.T, host string, port uint16) netip.AddrPort {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(host), port)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })

	return netip.MustParseAddrPort(l.Addr().String())
}

// listenSilently listens with a queue of connections that is full, so that the kernel answers
// no further one.
func listenSilently(t *testing.T, a netip.AddrPort) {
	is := is.New(t)
	s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { syscall.Close(s) })
	is.NoErr(syscall.Bind(s, &syscall.SockaddrInet4{
		Addr: a.Addr().As4(),
		Port: int(a.Port()),
	}))
	is.NoErr(syscall.Listen(s, 0))
	for range 3 {
		if c, err := net.DialTimeout("tcp4", a.String(), connectTimeout); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
}

// Guards against a killed process, a slow one and a VM without power that are taken for one
// another, against results that never come, and against a check that blocks the traffic loop
// or outlives the process.
func TestPortChecks(t *testing.T) {
	is := is.New(t)
	running := listen(t, "127.0.39.1", 0)
	silent := netip.AddrPortFrom(netip.MustParseAddr("127.0.39.2"), running.Port())
	listenSilently(t, silent)
	stopped := netip.MustParseAddrPort("127.0.39.3:1")
	results := make(chan steer.PortChecked, 2*maxPortChecks)
	p := newPortChecker(running.Port(), func(r steer.PortChecked) { results <- r })
	want := map[steer.PortChecked]bool{}
	for _, x := range []steer.PortChecked{
		{
			Agent: running,
			State: steer.PortAccepted,
		},
		{
			Agent: stopped,
			State: steer.PortRefused,
		},
		{
			Agent:      silent,
			State:      steer.PortSilent,
			OtherState: steer.PortAccepted,
		},
	} {
		want[x] = true
		p.check(steer.CheckPort{
			Agent: x.Agent,
			Other: running,
		})
	}
	for range 2 * maxPortChecks {
		p.check(steer.CheckPort{
			Agent: silent,
			Other: silent,
		})
	}
	want[steer.PortChecked{
		Agent: silent,
		State: steer.PortSilent,
	}] = true

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- p.Run(ctx) }()
	got := map[steer.PortChecked]bool{}
	for range maxPortChecks {
		got[<-results] = true
	}
	cancel()
	is.NoErr(<-ended)
	is.Equal(got, want)
	select {
	case <-results:
		t.Error("more checks ran than may wait")
	case <-time.After(2 * connectTimeout):
	}
}
