package agent

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/packet"
)

// Guards against the end of an agent by any message that comes before its first view: entries and
// other agents still send to its previous process.
func TestMessagesBeforeViewDoNotPanic(t *testing.T) {
	keys, err := keyring.New([]keyring.Key{
		{
			ID:     1,
			Secret: "00112233445566778899aabbccddeeff",
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		c := New(Options{
			Self: netip.MustParseAddrPort("10.0.0.1:7720"),
			Name: "target-1",
			Keys: keys,
			Seed: seed,
		})
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(r.Int64N(int64(time.Second)))
			c.Update(now, randomMessage(r))
		}
		c.Update(now, ViewChanged{
			View: &View{},
		})
		for range 400 {
			now += time.Duration(r.Int64N(int64(time.Second)))
			c.Update(now, randomMessage(r))
		}
	}
}

// randomMessage returns a random message whose fields may contradict each other.
func randomMessage(r *rand.Rand) Message {
	switch r.IntN(8) {
	case 0:
		return Tick{}
	case 1:
		return TargetUnreachable{}
	case 2:
		return FromTarget{
			Packet: randomPacket(r),
		}
	case 3:
		if r.IntN(100) == 0 {
			return Stop{}
		}

		return Tick{}
	default:
		body := make([]byte, r.IntN(40))
		for i := range body {
			body[i] = byte(r.Uint32())
		}

		return FromTunnel{
			Header: packet.Tunnel{
				Kind:              packet.TunnelKind(1 + r.IntN(12)),
				Hops:              uint8(r.IntN(3)),
				Ticket:            r.Uint64N(3),
				Service:           r.Uint64N(3),
				Target:            r.Uint64N(3),
				Incarnation:       r.Uint64N(3),
				SenderIncarnation: r.Uint64N(3),
				Sender:            randomAddress(r),
				Entry:             randomAddress(r),
				Caller:            randomAddress(r),
			},
			Packet: randomPacket(r),
			Body:   body,
		}
	}
}

func randomPacket(r *rand.Rand) packet.Packet {
	return packet.Packet{
		Kind:       packet.Kind(1 + r.IntN(14)),
		Service:    randomAddress(r),
		Flow:       r.Uint64N(4),
		Request:    r.Uint64N(4),
		Attempt:    r.Uint32N(3),
		Idempotent: r.IntN(2) == 0,
		Deadline:   time.Duration(r.Int64N(int64(time.Second))),
		Tenant:     []byte{'a' + byte(r.IntN(3))},
		Status:     packet.Status(r.IntN(5)),
		Boot:       r.Uint64N(3),
		Running:    r.Uint32N(5),
		Part:       r.Uint32N(4),
		Parts:      r.Uint32N(4),
		Payload:    make([]byte, r.IntN(20)),
		Load:       make([]byte, r.IntN(20)),
	}
}

func randomAddress(r *rand.Rand) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(4))}), 7720)
}
