package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
	"ibisfold.example/core/steer"
	"ibisfold.example/platform"
	"ibisfold.example/platform/platformtest"
)

var testKey = segment.KeyOf(netip.MustParseAddrPort("127.33.27.9:40001"), netip.MustParseAddrPort("198.18.0.1:443"))

// testPacket returns a packet of the flow testKey.
func testPacket(f segment.Flags) []byte {
	return platform.AppendPacket(nil, &segment.Segment{
		Key:   testKey,
		Flags: f,
	}, nil)
}

// listenAt returns a socket that is closed at the end of the test.
func listenAt(t *testing.T, address string) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
	})

	return c
}

// sendTo sends a datagram to one of the addresses of an entry.
func sendTo(t *testing.T, from *net.UDPConn, to netip.AddrPort, data []byte) {
	t.Helper()
	if _, err := from.WriteToUDPAddrPort(data, to); err != nil {
		t.Fatal(err)
	}
}

// awaitKind reads messages until one of a kind comes. It fails the test after three seconds.
func awaitKind(t *testing.T, c *net.UDPConn, k relay.Kind) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatalf("no message %v: %v", k, err)
		}
		m := relay.Message{}
		if err := m.Decode(buffer[:n]); err != nil {
			t.Fatal(err)
		}
		if m.Kind == k {
			return
		}
	}
}

// routedStore returns a store with one route to one service, which has a target in use.
func routedStore(t *testing.T) (*platformtest.Store, string) {
	t.Helper()
	store := &platformtest.Store{}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.SetConfig(1, []platformtest.Route{
		{
			Address: testKey.Service(),
			Service: "rufdienst",
		},
	}, []string{"rufdienst"})
	setTargets(store, 1)

	return store, server.URL
}

// Guards against an entry that ends when an agent returns a packet before the first catalog, and
// against one that does not search for the flow's owner once the catalog is there (review/13).
func TestReturnedPacketBeforeCatalog(t *testing.T) {
	is := is.New(t)
	store, url := routedStore(t)
	store.SetSilent(true)
	agent := listenAt(t, "127.33.26.100:7720")
	p := runEntry(t, 21, url)
	returned := relay.Message{
		Kind:   relay.Returned,
		Reason: relay.ReasonNotHeld,
		Key:    testKey,
		Packet: testPacket(segment.ACK),
	}
	time.AfterFunc(300*time.Millisecond, func() {
		store.SetSilent(false)
	})
	for !p.ready.Load() {
		sendTo(t, agent, p.settings.Relay, returned.Append(nil))
		time.Sleep(50 * time.Millisecond)
	}
	awaitKind(t, agent, relay.Find)
	is.Equal(p.Panics.Get(), uint64(0))
}

// Guards against an entry that ends because the handling of one datagram fails, and against one that
// handles no others after that.
func TestDatagramThatFailsIsDropped(t *testing.T) {
	is := is.New(t)
	_, url := routedStore(t)
	agent := listenAt(t, "127.33.26.100:7720")
	caller := listenAt(t, "127.33.27.9:0")
	p := runEntry(t, 22, url)
	is.True(await(3*time.Second, p.ready.Load))

	// The core needs random numbers to place a flow.
	random := p.core.Random
	is.True(p.Call(func() {
		p.core.Random = nil
	}))
	sendTo(t, caller, p.settings.Packets, testPacket(segment.SYN))
	is.True(await(3*time.Second, func() bool {
		return p.Panics.Get() == 1
	}))
	is.True(p.Call(func() {
		p.core.Random = random
	}))
	sendTo(t, caller, p.settings.Packets, testPacket(segment.SYN))
	awaitKind(t, agent, relay.Open)
}

// denyLookups answers all lookups that come to an agent with NotOwned, until its socket is closed.
func denyLookups(agent *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		n, from, err := agent.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		m := relay.Message{}
		if m.Decode(buffer[:n]) != nil {
			continue
		}
		answer := relay.Message{
			Kind: relay.NotOwned,
			Key:  m.Key,
		}
		if m.Kind == relay.FindMany {
			answer.Kind = relay.Answers
			answer.Keys = m.Keys
			answer.Ownership = slices.Repeat([]relay.Kind{relay.NotOwned}, len(m.Keys))
		}
		// A lost answer is asked for again.
		_, _ = agent.WriteToUDPAddrPort(answer.Append(nil), from)
	}
}

// Guards against the reset of a living flow by an entry that starts shortly before the store is back:
// the entry of the flow's target expired meanwhile and is written again a second later.
func TestFlowOfLapsedTargetOutlivesStart(t *testing.T) {
	is := is.New(t)
	store, url := routedStore(t)
	store.SetStatus(http.StatusServiceUnavailable)
	caller := listenAt(t, "127.33.27.9:0")
	go denyLookups(listenAt(t, "127.33.26.100:7720"))
	p := runEntry(t, 23, url)
	is.True(await(5*time.Second, func() bool {
		return p.storeCalls.Get() > 1
	}))
	store.SetStatus(0)
	is.True(await(3*time.Second, p.ready.Load))
	for range 10 {
		sendTo(t, caller, p.settings.Packets, testPacket(segment.ACK))
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(p.decisions[steer.NotHeld].Get(), uint64(0))
	// A flow that no target holds is reset once all living targets are back.
	is.True(await(5*time.Second, func() bool {
		sendTo(t, caller, p.settings.Packets, testPacket(segment.ACK))

		return p.decisions[steer.NotHeld].Get() > 0
	}))
}
