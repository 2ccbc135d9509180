package conntrack

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a panic on a message that no entry or target would send. The agent has to
// keep running: it still opens a flow afterwards.
func TestMalformedMessagesDoNotPanic(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		c := Core{
			Complete: seed%2 == 0,
		}
		now := time.Duration(0)
		for range 2000 {
			now += time.Duration(r.Int64N(int64(40 * time.Millisecond)))
			c.Update(now, randomMessage(r))
		}
		now += time.Hour
		c.Update(now, Tick{})
		c.Update(now, &TargetPacket{
			Segment: randomSegment(r),
		})
		k := testKey
		k.CallerPort = 9
		if !forwarded(c.Update(now, openMessage(k, 0))) {
			t.Errorf("seed %d: the agent no longer opens flows", seed)
		}
	}
}

// randomMessage returns a random message whose fields may contradict each other.
func randomMessage(r *rand.Rand) Message {
	switch r.IntN(6) {
	case 0:
		return Tick{}
	case 1:
		return &TargetPacket{
			Segment: randomSegment(r),
			Packet:  make([]byte, r.IntN(40)),
		}
	case 2:
		return TargetRefused{}
	case 3:
		return Stop{
			TargetEnded: r.IntN(2) == 0,
		}
	default:
		s := randomSegment(r)

		return &EntryMessage{
			From: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(3))}), 7720),
			Message: relay.Message{
				Kind:      relay.Kind(r.IntN(20)),
				Reason:    relay.Reason(r.IntN(20)),
				Key:       s.Key,
				ColdRate:  uint16(r.IntN(3)),
				Slots:     uint16(r.IntN(3)),
				Age:       uint16(r.Uint32()),
				Timeout:   uint16(r.Uint32()),
				Priority:  uint8(r.Uint32()),
				Keys:      []segment.Key{s.Key, testKey},
				Ownership: []relay.Kind{relay.Kind(r.IntN(20))},
				Table:     randomTable(r, s.Key),
			},
			Segment: s,
		}
	}
}

func randomSegment(r *rand.Rand) segment.Segment {
	k := testKey
	k.CallerPort = uint16(r.IntN(8))

	return segment.Segment{
		Key:   k,
		Flags: segment.Flags(r.IntN(256)),
		Seq:   r.Uint32(),
		Ack:   uint32(r.IntN(4)),
		Len:   r.IntN(3) * 600,
	}
}

// randomTable returns a random part of a flow table, or random data about one, with any
// field values that a message can carry.
func randomTable(r *rand.Rand, k segment.Key) *relay.Table {
	if r.IntN(4) == 0 {
		return nil
	}

	return &relay.Table{
		ID:     r.Int64N(3),
		Part:   uint8(r.IntN(256)),
		Parts:  uint8(r.IntN(256)),
		Wanted: []uint8{uint8(r.IntN(256))},
		Flows: []relay.TableFlow{
			{
				Key:   k,
				State: relay.FlowState(r.IntN(5)),
				Seq:   r.Uint32(),
			},
		},
	}
}
