package packet_test

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"
	"time"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/packet"
)

func newKeyring(t testing.TB) *keyring.Keyring {
	t.Helper()
	r, err := keyring.New([]keyring.Key{
		{
			ID:     1,
			Secret: "00112233445566778899aabbccddeeff",
		},
	})
	if err != nil {
		t.Fatal(err)
	}

	return r
}

func samplePacket(r *keyring.Keyring) *packet.Packet {
	a := netip.MustParseAddrPort("127.1.0.12:7100")
	p := &packet.Packet{
		Kind:       packet.Request,
		Service:    netip.MustParseAddrPort("127.64.0.1:7000"),
		Flow:       7,
		Request:    1<<64 - 1,
		Attempt:    3,
		Idempotent: true,
		Deadline:   4 * time.Second,
		Tenant:     []byte("eisweinruf"),
		Part:       1,
		Parts:      2,
		Payload:    []byte("row 12"),
		Token: packet.Token{
			Agent:       a,
			Service:     1,
			Zone:        2,
			Target:      3,
			Incarnation: 4,
		},
	}
	p.Token.Sign(r, p.Flow)

	return p
}

// isDecodeError reports whether err is one of the sentinel errors of the decoders.
func isDecodeError(err error) bool {
	for _, e := range []error{packet.ErrMalformed, packet.ErrTooLong, packet.ErrKind, packet.ErrField, packet.ErrMAC} {
		if errors.Is(err, e) {
			return true
		}
	}

	return false
}

// Guards against packets that make the decoder panic or allocate, that fail with
// an error which is not counted as a drop reason, or that change when they are
// encoded again. `go test -fuzz=FuzzPacketDecode ./core/packet` generates new inputs.
func FuzzPacketDecode(f *testing.F) {
	seed := samplePacket(newKeyring(f)).Append(nil)
	f.Add(seed)
	for i := range seed {
		f.Add(seed[:i])
	}
	for _, s := range []string{"\x08\x00", "\x08\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\x22\xff\xff\xff\x7f", "\x0b", "\x0c"} {
		f.Add([]byte(s))
	}
	f.Add(make([]byte, packet.MaxBytes+1))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p, again packet.Packet

		if n := testing.AllocsPerRun(1, func() { _ = p.Decode(b) }); n > 0 {
			t.Fatalf("%v allocations", n)
		}
		if err := p.Decode(b); err != nil {
			if !isDecodeError(err) {
				t.Fatalf("unexpected error: %v", err)
			}

			return
		}
		encoded := p.Append(nil)
		if err := again.Decode(encoded); err != nil {
			t.Fatalf("second decoding: %v", err)
		}
		if !bytes.Equal(encoded, again.Append(nil)) {
			t.Fatal("round trip changed the packet")
		}
	})
}

// Guards against headers that make the decoder panic or allocate, that verify
// although a bit is flipped, or that change when they are encoded again.
// `go test -fuzz=FuzzTunnelDecode ./core/packet` generates new inputs.
func FuzzTunnelDecode(f *testing.F) {
	r := newKeyring(f)
	h := packet.Tunnel{
		Kind:        packet.ToAgent,
		Ticket:      3,
		Service:     1,
		Target:      2,
		Incarnation: 4,
		Sender:      netip.MustParseAddrPort("127.1.0.1:7100"),
		Entry:       netip.MustParseAddrPort("127.1.0.1:7100"),
		Caller:      netip.MustParseAddrPort("127.9.0.1:4000"),
	}
	seed := h.Append(nil, r)
	f.Add(append(seed, "payload"...))
	for i := range seed {
		f.Add(seed[:i])
		c := bytes.Clone(seed)
		c[i] ^= 1
		f.Add(c)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var h packet.Tunnel

		if n := testing.AllocsPerRun(1, func() { _, _ = h.Decode(b, r) }); n > 0 {
			t.Fatalf("%v allocations", n)
		}
		rest, err := h.Decode(b, r)
		if err != nil {
			if !isDecodeError(err) {
				t.Fatalf("unexpected error: %v", err)
			}

			return
		}
		if !bytes.Equal(append(h.Append(nil, r), rest...), b) {
			t.Fatal("round trip changed the header")
		}
	})
}

// Guards against a token that verifies for another flow, after a change of any
// field or under an unknown key. `go test -fuzz=FuzzToken ./core/packet` generates
// new inputs.
func FuzzToken(f *testing.F) {
	r := newKeyring(f)
	f.Add(uint64(7), uint64(1), uint64(2), uint64(3), uint64(4), uint64(8), uint8(0))
	f.Add(uint64(0), uint64(0), uint64(0), uint64(0), uint64(0), uint64(1), uint8(1))
	f.Fuzz(func(t *testing.T, flow, service, zone, target, incarnation, change uint64, key uint8) {
		k := packet.Token{
			Agent:       netip.MustParseAddrPort("127.1.0.12:7100"),
			Service:     service,
			Zone:        zone,
			Target:      target,
			Incarnation: incarnation,
		}
		k.Sign(r, flow)
		p := packet.Packet{
			Kind:  packet.KeepAlive,
			Flow:  flow,
			Token: k,
		}
		var q packet.Packet
		if err := q.Decode(p.Append(nil)); err != nil || q.Token != k || !q.Token.Verify(r, flow) {
			t.Fatalf("token does not survive encoding: %v", err)
		}
		if change == 0 {
			return
		}
		if k.Verify(r, flow^change) {
			t.Fatal("token verifies for another flow")
		}
		for i, field := range []*uint64{&q.Token.Service, &q.Token.Zone, &q.Token.Target, &q.Token.Incarnation, &q.Token.MAC} {
			*field ^= change
			if q.Token.Verify(r, flow) {
				t.Fatalf("token verifies with field %d changed", i)
			}
			*field ^= change
		}
		q.Token.Key = key
		if key != k.Key && q.Token.Verify(r, flow) {
			t.Fatal("token verifies with an unknown key")
		}
	})
}
