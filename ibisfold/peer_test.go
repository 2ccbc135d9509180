package main

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/peer"
)

// Guards against status calls that do not match what processes serve: a different
// method name, different fields, or keys other than those of the settings.
func TestCallPeer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := newStatusCommand(output{})
	c.keys = "../examples/eisweinruf/settings/rufdienst-1.yaml"
	keys, err := c.readKeys()
	is.NoErr(err)
	s := peer.NewServer(l, keys)
	s.Register("Status", func(context.Context, json.RawMessage) (any, error) {
		return peer.Status{
			Name:   "rufdienst-1",
			Ticket: 4,
		}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()

	addr := netip.MustParseAddrPort(l.Addr().String())
	got, err := callPeer(ctx, addr, keys)
	is.NoErr(err)
	is.Equal(got.Name, "rufdienst-1")
	is.Equal(got.Ticket, uint64(4))
	otherKeys, err := keyring.New([]keyring.Key{{
		ID:     1,
		Secret: "00112233445566778899aabbccddeeff",
	}})
	is.NoErr(err)
	_, err = callPeer(ctx, addr, otherKeys)
	is.True(err != nil)
	cancel()
	is.NoErr(<-done)
}
