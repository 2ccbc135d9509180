package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/settings"
)

// freePort returns a loopback address with a port that was free a moment ago.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()

	return l.Addr().(*net.TCPAddr).AddrPort()
}

func newTestProcess(t *testing.T, http netip.AddrPort) *process {
	t.Helper()
	p, err := newProcess(settings.Entry{
		Process: settings.Process{
			Zone:   "iphofen",
			Listen: freePort(t),
			HTTP:   http,
			Consul: "http://127.0.0.1:1",
			Keys: []keyring.Key{
				{
					ID:     1,
					Secret: "00112233445566778899aabbccddeeff",
				},
			},
		},
		Callers: freePort(t),
	}, log.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}

	return p
}

// Guards against a process that hangs when one of its services fails: the traffic
// goroutines block in reads without a deadline until their sockets are closed.
func TestRunEndsWhenServiceFails(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()

	p := newTestProcess(t, taken.Addr().(*net.TCPAddr).AddrPort())
	is.True(p.run(context.Background()) != nil)
}

// Guards against a graceful shutdown that returns an error, and against an entry
// that reports itself as healthy before it has a state.
func TestRunStopsGracefully(t *testing.T) {
	is := is.New(t)
	p := newTestProcess(t, freePort(t))
	term, stop := context.WithCancel(context.Background())
	is.True(!p.healthy())
	stop()
	is.NoErr(p.run(term))
}
