package mesh_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
)

// Guards against the end of a process by any message that comes before it has peers or a ticket:
// others still send to its previous process.
func TestMessagesBeforeFirstTicketDoNotPanic(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		c := mesh.New(mesh.Options{
			Self: mesh.Node{
				Addr: randomAddress(r),
				Zone: "a",
				Role: mesh.RoleEntry,
			},
			Seed: seed,
		})
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(r.Int64N(int64(100 * time.Millisecond)))
			c.Update(now, randomMessage(r))
		}
	}
}

// randomMessage returns a random message whose fields may contradict each other.
func randomMessage(r *rand.Rand) mesh.Message {
	switch r.IntN(8) {
	case 0:
		return mesh.Tick{}
	case 1:
		return mesh.ConfigFailed{}
	case 2:
		return mesh.LocalSuspect{
			Target:      r.Uint64N(3),
			Incarnation: r.Uint64N(3),
		}
	case 3:
		return mesh.LocalAlive{
			Target:      r.Uint64N(3),
			Incarnation: r.Uint64N(3),
		}
	default:
		return mesh.Received{
			From: randomAddress(r),
			Body: randomBody(r),
		}
	}
}

func randomBody(r *rand.Rand) mesh.Wire {
	v := ticket.Version{
		Number: r.Uint64N(3),
		Hash:   r.Uint64N(3),
	}
	status := mesh.Status{
		Self: mesh.Node{
			Zone:        "a",
			Role:        mesh.Role(r.IntN(4)),
			Incarnation: r.Uint64N(3),
		},
		Confirmed: r.IntN(2) == 0,
		Heartbeats: []mesh.Heartbeat{
			{
				Addr:  randomAddress(r),
				Count: r.Uint64N(9),
			},
		},
	}
	ranges := []mesh.Range{
		{
			From:  v,
			Count: r.Uint32N(3),
			List:  r.IntN(2) == 0,
			Items: []ticket.Version{v},
		},
	}
	data := make([]byte, r.IntN(40))
	bodies := []mesh.Wire{
		mesh.Digest{
			Nonce:          r.Uint64N(3),
			Status:         status,
			AvailableBytes: r.Uint32(),
			WantPeers:      r.IntN(2) == 0,
			Pending:        []ticket.Version{v},
		},
		mesh.DigestAck{
			Nonce:  r.Uint64N(3),
			Status: status,
			Ranges: ranges,
			Has:    []ticket.Version{v},
		},
		mesh.Summary{
			Ranges:         ranges,
			AvailableBytes: r.Uint32(),
		},
		mesh.Fetch{
			Versions: []ticket.Version{v},
		},
		mesh.Announce{
			Version: v,
			Size:    r.Uint32N(5000),
			Urgent:  r.IntN(2) == 0,
			Have:    data[:min(len(data), 2)],
		},
		mesh.Body{
			Version: v,
			Data:    data,
		},
		mesh.ChunkRequest{
			Version: v,
			Indexes: []uint32{r.Uint32N(9)},
		},
		mesh.Chunk{
			Version: v,
			Index:   r.Uint32N(9),
			Size:    r.Uint32N(5000),
			Data:    data,
		},
		mesh.ChunkRefused{
			Version: v,
			Indexes: []uint32{r.Uint32N(9)},
		},
	}

	return bodies[r.IntN(len(bodies))]
}

func randomAddress(r *rand.Rand) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(4))}), 7720)
}
