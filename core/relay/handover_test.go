package relay

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/segment"
)

// handoverMessages returns a message of each kind about a flow table.
func handoverMessages() []Message {
	flows := []TableFlow{}
	for i := range MaxFlows {
		flows = append(flows, TableFlow{
			Key:   segment.KeyOf(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(i)), netip.MustParseAddrPort("198.18.0.1:443")),
			State: FlowState(1 + i%int(flowStates-1)),
			Idle:  uint8(i),
			Seq:   1<<31 + uint32(i),
		})
	}

	return []Message{
		{
			Kind: Handover,
			Load: 7,
			Table: &Table{
				ID:    1 << 50,
				Part:  MaxParts - 1,
				Parts: MaxParts,
				Flows: flows,
			},
		},
		{
			Kind: HandoverPart,
			Table: &Table{
				ID:    1,
				Parts: 1,
			},
		},
		{
			Kind: HandoverOffer,
			Table: &Table{
				ID:    2,
				Parts: 3,
			},
		},
		{
			Kind: HandoverWanted,
			Table: &Table{
				ID:     3,
				Wanted: []uint8{0, MaxParts - 1},
			},
		},
		{
			Kind: HandoverDone,
			Table: &Table{
				ID: 4,
			},
		},
	}
}

// Guards against a flow table that changes between its handover and its return, and
// against a part so long that its datagram is fragmented.
func TestHandoverRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range handoverMessages() {
		b := m.Append(nil)
		got := Message{}
		is.NoErr(got.Decode(b))
		is.Equal(got, m)
		is.True(len(b) <= HeaderBytes+MaxKeys*KeyBytes)
		is.True(m.Kind.String() != "invalid")
	}
}

// Guards against a malformed datagram that is accepted as a part of a flow table, or that
// makes the decoder panic.
func TestMalformedHandover(t *testing.T) {
	is := is.New(t)
	expectErrTable := func(k Kind, body ...byte) {
		t.Helper()
		b := append((&Message{
			Kind: Find,
		}).Append(nil), body...)
		b[1] = byte(k)
		m := Message{}
		is.True(errors.Is(m.Decode(b), ErrTable))
	}
	flow := func(state FlowState) []byte {
		f := make([]byte, TableFlowBytes)
		f[KeyBytes] = byte(state)

		return f
	}
	for _, k := range []Kind{Handover, HandoverPart} {
		expectErrTable(k)
		expectErrTable(k, 0, 1)
		expectErrTable(k, 0, 0, 0)
		expectErrTable(k, 1, 1, 0)
		expectErrTable(k, 0, MaxParts+1, 0)
		expectErrTable(k, 0, 1, 2)
		expectErrTable(k, append([]byte{0, 1, 1}, flow(FlowHeld)[1:]...)...)
		expectErrTable(k, append([]byte{0, 1, 1}, flow(0)...)...)
		expectErrTable(k, append([]byte{0, 1, 1}, flow(flowStates)...)...)
		long := []byte{0, 1, 1}
		for range MaxFlows + 1 {
			long = append(long, flow(FlowHeld)...)
		}
		expectErrTable(k, long...)
	}
	expectErrTable(HandoverOffer)
	expectErrTable(HandoverOffer, 0, 1, 1)
	expectErrTable(HandoverOffer, MaxParts+1, 1, 1)
	expectErrTable(HandoverOffer, 1, 1)
	expectErrTable(HandoverOffer, 1, 1, 1, 1)
	expectErrTable(HandoverWanted)
	expectErrTable(HandoverWanted, MaxParts)
	expectErrTable(HandoverWanted, make([]byte, MaxParts+1)...)
	expectErrTable(HandoverDone, 0)
}

// Guards against corrupted flow table messages that make the decoder panic, or that are
// decoded into a table which changes when it is encoded again.
func TestCorruptedHandover(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		messages := handoverMessages()
		m := messages[r.IntN(len(messages))]
		b := m.Append(nil)
		for range 1 + r.IntN(3) {
			b[1+r.IntN(len(b)-1)] = byte(r.IntN(256))
		}
		b = b[:r.IntN(len(b)+1)]
		got := Message{}
		if got.Decode(b) != nil {
			continue
		}
		again := Message{}
		is.NoErr(again.Decode(got.Append(nil)))
		is.Equal(again.Table, got.Table)
	}
}
