package mesh_test

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
)

// hash returns the first 8 bytes of a text's SHA-256, as versions contain them.
func hash(text []byte) uint64 {
	sum := sha256.Sum256(text)

	return binary.BigEndian.Uint64(sum[:8])
}

// TestInvalidMessages guards against messages that break a limit, carry a
// ticket that isn't the announced one, or can't be decompressed. Each is
// counted by its reason, changes no state and causes no request.
func TestInvalidMessages(t *testing.T) {
	good := text(9, "", 0)
	cases := []struct {
		name  string
		body  mesh.Wire
		count func(mesh.Counters) uint64
	}{
		{"body is not compressed", mesh.Body{
			Version: version(good),
			Data:    good,
		}, func(c mesh.Counters) uint64 { return c.InvalidBody }},
		{"body of another ticket", mesh.Body{
			Version: version(good),
			Data:    mesh.Compress(text(8, "", 0)),
		}, func(c mesh.Counters) uint64 { return c.InvalidHash }},
		{"body too long", mesh.Body{
			Version: version(good),
			Data:    make([]byte, mesh.MaxPushBytes+1),
		}, func(c mesh.Counters) uint64 { return c.InvalidWire }},
		{"body too long when decompressed", mesh.Body{
			Version: version(good),
			Data:    mesh.Compress(make([]byte, ticket.MaxBytes+1)),
		}, func(c mesh.Counters) uint64 { return c.InvalidBody }},
		{"announced too long", mesh.Announce{
			Version: version(good),
			Size:    mesh.MaxBodyBytes + 1,
		}, func(c mesh.Counters) uint64 { return c.InvalidWire }},
		{"too many versions", mesh.Fetch{
			Versions: make([]ticket.Version, mesh.MaxItems+1),
		}, func(c mesh.Counters) uint64 { return c.InvalidWire }},
		{"too many suspicions", mesh.Suspicions{
			Items: make([]mesh.Suspicion, mesh.MaxSuspicions+1),
		}, func(c mesh.Counters) uint64 { return c.InvalidWire }},
		{"too many chunks", mesh.ChunkRequest{
			Indexes: make([]uint32, mesh.MaxIndexes+1),
		}, func(c mesh.Counters) uint64 { return c.InvalidWire }},
	}

	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			c := mesh.New(mesh.Options{
				Self: mesh.Node{
					Addr: netip.MustParseAddrPort("10.0.0.1:1"),
					Role: mesh.RoleEntry,
				},
			})
			commands := c.Update(0, mesh.Received{
				From: netip.MustParseAddrPort("10.0.0.2:1"),
				Body: v.body,
			})
			is.Equal(len(commands), 0)
			is.Equal(v.count(c.Counters()), uint64(1))
			is.Equal(c.State().Highest(), uint64(0))
		})
	}
}

// TestInvalidTicketOnce guards against an invalid ticket that is fetched and
// parsed again each time that a peer offers it.
func TestInvalidTicketOnce(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 18, 3)
	v := w.Nodes[0]
	bad := []byte("Ticket: 9\nUnknown: 1\n")
	from := w.Nodes[1].Self.Addr
	for range 5 {
		w.Update(v, mesh.Received{
			From: from,
			Body: mesh.Body{
				Version: ticket.Version{
					Number: 9,
					Hash:   hash(bad),
				},
				Data: mesh.Compress(bad),
			},
		})
		w.Run(time.Second)
	}
	is.Equal(v.Core.Counters().InvalidTicket, uint64(1))
	is.Equal(v.Core.State().Highest(), uint64(1))
}
