package steer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a panic on a message that no caller or agent would send. After such
// messages the entry still has to place a flow.
func TestArbitraryMessagesDoNotPanic(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		c := newTestCore(5)
		now := time.Duration(0)
		for range 2000 {
			now += time.Duration(r.Int64N(int64(30 * time.Millisecond)))
			c.Update(now, anyMessage(c, r))
		}
		to, _ := synRecipients(c.Update(now+time.Hour, testPacket(9999, segment.SYN)))
		if len(to) != 1 {
			t.Errorf("seed %d: the entry no longer places flows", seed)
		}
	}
}

// anyMessage returns a random message whose fields may contradict each other.
func anyMessage(c *Core, r *rand.Rand) Message {
	k := testPacket(r.IntN(6), 0).Segment.Key
	s := segment.Segment{
		Key:   k,
		Flags: segment.Flags(r.IntN(256)),
		Seq:   r.Uint32(),
		Ack:   r.Uint32(),
		Len:   r.IntN(1200),
	}
	switch r.IntN(7) {
	case 0:
		return Tick{
			Behind: r.IntN(4) == 0,
		}
	case 1, 2:
		return &CallerPacket{
			Segment: s,
			Packet:  make([]byte, r.IntN(40)),
		}
	case 3:
		return CatalogConfirmed{
			Age:    time.Duration(r.Int64N(int64(time.Second))),
			MaxAge: time.Duration(r.Int64N(int64(time.Hour))),
		}
	case 4:
		return PortChecked{
			Agent:      c.listedOrder[r.IntN(len(c.listedOrder))],
			State:      PortState(r.IntN(5)),
			OtherState: PortState(r.IntN(5)),
		}
	default:
		from := netip.MustParseAddrPort("10.9.9.9:7720")
		if r.IntN(4) > 0 {
			from = c.listedOrder[r.IntN(len(c.listedOrder))]
		}

		return &AgentMessage{
			From: from,
			Message: relay.Message{
				Kind:      relay.Kind(r.IntN(20)),
				Reason:    relay.Reason(r.IntN(20)),
				Key:       k,
				Load:      uint16(r.Uint32()),
				Unstable:  r.IntN(2) == 0,
				Flows:     uint16(r.Uint32()),
				Keys:      []segment.Key{k},
				Ownership: []relay.Kind{relay.Kind(r.IntN(20))},
				Table:     anyTable(r, k),
				Packet:    []byte{1},
			},
			Segment: s,
		}
	}
}

// anyTable returns a random flow table, within what a message can encode, or nil.
func anyTable(r *rand.Rand, k segment.Key) *relay.Table {
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
