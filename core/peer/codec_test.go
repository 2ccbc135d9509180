package peer

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
)

func testKeys(t testing.TB, ids ...int) *keyring.Keyring {
	t.Helper()
	keys := []keyring.Key{}
	for _, i := range ids {
		keys = append(keys, keyring.Key{
			ID:     i,
			Secret: "00112233445566778899aabbccddee" + string("0123456789"[i]) + "f",
		})
	}
	r, err := keyring.New(keys)
	if err != nil {
		t.Fatal(err)
	}

	return r
}

var (
	testVersion = ticket.Version{
		Number: 1 << 40,
		Hash:   1<<64 - 1,
	}
	testNode = mesh.Node{
		Addr:        netip.MustParseAddrPort("127.1.0.12:7100"),
		Zone:        "iphofen",
		Role:        mesh.RoleAgent,
		Incarnation: 1<<64 - 1,
	}
	testSuspicion = mesh.Suspicion{
		Target:      1<<64 - 1,
		Incarnation: 2,
		Change:      1,
		Age:         599,
	}
	testStatus = mesh.Status{
		Self: testNode,
		State: ticket.Digest{
			Floor:   1 << 40,
			Highest: 1 << 40,
			Hash:    3,
		},
		Confirmed: true,
		Sample:    []mesh.Node{testNode},
		Heartbeats: []mesh.Heartbeat{{
			Addr:        testNode.Addr,
			Incarnation: 1,
			Count:       1 << 40,
		}},
		Suspicions: []mesh.Suspicion{testSuspicion},
	}
	testRanges = []mesh.Range{
		{
			To:    testVersion,
			Count: 1 << 31,
			Hash:  4,
		},
		{
			From:  testVersion,
			List:  true,
			Items: []ticket.Version{testVersion, testVersion},
		},
	}
	testWires = []mesh.Wire{
		mesh.Digest{
			Nonce:          5,
			Status:         testStatus,
			AvailableBytes: mesh.BudgetBurst,
			WantPeers:      true,
			Pending:        []ticket.Version{testVersion},
		},
		mesh.DigestAck{
			Nonce:  5,
			Status: testStatus,
			Ranges: testRanges,
			Has:    []ticket.Version{testVersion},
		},
		mesh.Summary{
			Ranges:         testRanges,
			AvailableBytes: mesh.BudgetBurst,
		},
		mesh.Fetch{
			Versions: []ticket.Version{testVersion},
		},
		mesh.Announce{
			Version: testVersion,
			Size:    mesh.MaxBodyBytes,
			Urgent:  true,
			Have:    make([]byte, mesh.MaxHaveBytes),
		},
		mesh.Body{
			Version: testVersion,
			Data:    make([]byte, mesh.MaxPushBytes),
		},
		mesh.ChunkRequest{
			Version: testVersion,
			Indexes: []uint32{0, 999},
		},
		mesh.Chunk{
			Version: testVersion,
			Index:   999,
			Size:    mesh.MaxBodyBytes,
			Data:    make([]byte, mesh.ChunkBytes),
			Have:    make([]byte, 32),
		},
		mesh.ChunkRefused{
			Version: testVersion,
			Indexes: []uint32{0, 999},
			Gone:    true,
			Busy:    true,
			Have:    []byte{5},
		},
		mesh.Suspicions{
			Items: []mesh.Suspicion{testSuspicion},
		},
	}
)

// TestDatagram guards against fields that the codec loses, and against sizes in
// package mesh that are below the number of bytes sent, which would exceed its budget.
func TestDatagram(t *testing.T) {
	is := is.New(t)
	r := testKeys(t, 1)
	for _, m := range testWires {
		b, err := AppendDatagram(nil, testNode.Addr, m, r)
		is.NoErr(err)
		is.True(IsDatagram(b))
		is.True(len(b)+28 <= m.Bytes()) // IPv4 and UDP headers
		got, err := DecodeDatagram(b, r)
		is.NoErr(err)
		is.Equal(got, mesh.Received{
			From: testNode.Addr,
			Body: m,
		})
	}
}

// TestDatagramRejects guards against forged and truncated datagrams that are
// accepted, and against drops that are counted under the wrong reason.
func TestDatagramRejects(t *testing.T) {
	is := is.New(t)
	r := testKeys(t, 1)
	d := &Drops{}
	reject := func(b []byte, want error) {
		m, err := DecodeDatagram(b, r)
		is.Equal(m, mesh.Received{})
		is.True(errors.Is(err, want))
		before := d.ByError(want)
		d.Count(err)
		is.Equal(d.ByError(want), before+1)
	}

	for _, m := range testWires {
		b, err := AppendDatagram(nil, testNode.Addr, m, r)
		is.NoErr(err)
		for n := range b {
			_, err := DecodeDatagram(b[:n], r)
			is.True(err != nil)
			b[n] ^= 0x10
			_, err = DecodeDatagram(b, r)
			is.True(err != nil)
			b[n] ^= 0x10
		}
	}
	other, _ := AppendDatagram(nil, testNode.Addr, testWires[0], testKeys(t, 2))
	reject(other, ErrMAC)
	reject(make([]byte, MaxDatagramBytes+1), ErrTooLong)
	reject([]byte{0xB1, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, ErrMalformed)
	reject(signedDatagram(r, nil), ErrKind)
	reject(signedDatagram(r, []byte{0xFA, 0x01, 0x00}), ErrKind)
	reject(signedDatagram(r, []byte{0x0A, 0x05}), ErrMalformed)
	reject(signedDatagram(r, []byte{0x22, 0x00, 0x22, 0x00}), ErrField)
	many := mesh.Fetch{
		Versions: make([]ticket.Version, mesh.MaxItems+1),
	}
	reject(signedDatagram(r, AppendWire(nil, many)), ErrField)
}

// signedDatagram returns a datagram with a valid MAC over content, which may be
// malformed.
func signedDatagram(r *keyring.Keyring, content []byte) []byte {
	b := append([]byte{datagramMagic, r.Signer()}, make([]byte, minHeaderBytes-macOffset)...)
	b[senderOffset] = 4
	b = append(b, content...)
	binary.BigEndian.PutUint64(b[macOffset:], datagramMAC(b, r))

	return b
}

// TestKeyRotation guards against a key rotation that interrupts the mesh: datagrams
// under the previous key must verify while the keyring holds it.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	b, err := AppendDatagram(nil, testNode.Addr, testWires[0], testKeys(t, 1))
	is.NoErr(err)
	_, err = DecodeDatagram(b, testKeys(t, 2, 1))
	is.NoErr(err)
}

// FuzzDecodeDatagram guards against datagrams that make the decoder panic, that fail
// with an error which no drop reason counts, or that change when they are encoded
// again.
func FuzzDecodeDatagram(f *testing.F) {
	r := testKeys(f, 1)
	for _, m := range testWires {
		f.Add(AppendWire(nil, m), true)
		b, _ := AppendDatagram(nil, testNode.Addr, m, r)
		f.Add(b, false)
	}
	f.Fuzz(func(t *testing.T, b []byte, sign bool) {
		if sign {
			b = signedDatagram(r, b)
		}
		m, err := DecodeDatagram(b, r)
		if err != nil {
			d := &Drops{}
			d.Count(err)
			n := uint64(0)
			d.Each(func(_ string, k uint64) { n += k })
			if n != 1 || m.Body != nil {
				t.Fatalf("error without a reason: %v", err)
			}

			return
		}
		again, err := DecodeWire(AppendWire(nil, m.Body))
		if err != nil {
			t.Fatalf("decoded message doesn't encode: %v", err)
		}
		if len(AppendWire(nil, again)) != len(AppendWire(nil, m.Body)) {
			t.Fatal("encoding isn't stable")
		}
	})
}
