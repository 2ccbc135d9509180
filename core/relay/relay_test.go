package relay

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/segment"
)

// Guards against a field that is encoded and decoded differently.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	m := Message{
		Kind:     Returned,
		Reason:   ReasonFull,
		Process:  1 << 60,
		Key:      segment.KeyOf(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443")),
		ColdRate: 3,
		Load:     4,
		Unstable: true,
		Leaving:  true,
		Stopping: true,
		Flows:    5,
		Slots:    6,
		Age:      7,
		Timeout:  8,
		Priority: 9,
		Packet:   []byte("packet"),
	}
	got := Message{}
	is.NoErr(got.Decode(m.Append(nil)))
	is.Equal(got, m)
}

// Guards against answers that are decoded for another flow than they were encoded for, and
// against a truncated list that is accepted.
func TestAnswersRoundTrip(t *testing.T) {
	is := is.New(t)
	k := segment.KeyOf(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	other := k
	other.CallerPort++
	m := Message{
		Kind:      Answers,
		Keys:      []segment.Key{k, other},
		Ownership: []Kind{Owned, Unsure},
	}
	b := m.Append(nil)
	got := Message{}
	is.NoErr(got.Decode(b))
	is.Equal(got, m)
	is.True(errors.Is(got.Decode(b[:len(b)-1]), ErrKeys))
}

// Guards against a message that is decoded although it is truncated, of another version or
// of an unknown kind.
func TestDecodeErrors(t *testing.T) {
	is := is.New(t)
	b := (&Message{
		Kind: Find,
	}).Append(nil)
	m := Message{}
	is.True(errors.Is(m.Decode(b[:HeaderBytes-1]), ErrShort))
	b[0]++
	is.True(errors.Is(m.Decode(b), ErrVersion))
	b[0]--
	b[1] = byte(kinds)
	is.True(errors.Is(m.Decode(b), ErrKind))
}

// Guards against a datagram that makes the decoder panic, or whose key changes when the
// message is encoded again.
func FuzzDecode(f *testing.F) {
	f.Add((&Message{
		Kind: Open,
	}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m := Message{}
		if m.Decode(b) != nil {
			return
		}
		again := Message{}
		if err := again.Decode(m.Append(nil)); err != nil || again.Key != m.Key {
			t.Fatal(err)
		}
	})
}

// Guards against a lookup that tells agents of earlier versions when their target started: they
// would conclude from it that the target is new, and deny flows that it holds (review/11, /12). What
// entries of earlier versions tell is ignored.
func TestLookupTellsNoStart(t *testing.T) {
	is := is.New(t)
	m := Message{
		Kind:     FindMany,
		Leaving:  true,
		Timeout:  8,
		Priority: 9,
		Keys:     []segment.Key{segment.KeyOf(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))},
	}
	b := m.Append(nil)
	// The start, the service of the target, and for how long the entry has known it.
	for _, place := range [][]byte{b[4:12], b[24:32], b[32:34]} {
		for i := range place {
			is.Equal(place[i], byte(0))
		}
	}
	for _, place := range [][]byte{b[4:12], b[24:32]} {
		for i := range place {
			place[i] = 3
		}
	}
	got := Message{}
	is.NoErr(got.Decode(b))
	is.Equal(got, m)
}
