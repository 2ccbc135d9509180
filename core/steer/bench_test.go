package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

var testAddress = netip.MustParseAddrPort("198.18.0.1:443")

// newTestCore returns an entry that knows n targets in three zones.
func newTestCore(n int) *Core {
	s := catalog.State{}
	service := catalog.ServiceID("rufdienst")
	s.Apply(0, catalog.ConfigChange{
		Config: &catalog.Config{
			Version: 1,
			Routes: map[netip.AddrPort]catalog.Route{
				testAddress: {
					Address: testAddress,
					Splits: []catalog.Split{
						{
							Service: service,
							Weight:  1,
						},
					},
				},
			},
		},
	})
	l := catalog.Listing{}
	for i := range n {
		l.Changes = append(l.Changes, catalog.TargetChange{
			Target: catalog.Target{
				ID:      fmt.Sprint(i),
				Service: service,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 3), byte(i >> 8), byte(i)}), 8080),
				Zone:    string("abc"[i%3]),
				Slots:   2,
			},
		})
	}
	s.Apply(0, l)
	c := &Core{
		Zone:      "a",
		RelayPort: 7720,
		Random:    rand.New(rand.NewPCG(1, 1)),
	}
	c.Update(0, CatalogChanged{
		Snapshot:  s.Snapshot(),
		Confirmed: true,
	})

	return c
}

// testPacket returns a packet with the given flags of the flow with the given number.
func testPacket(i int, f segment.Flags) *CallerPacket {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 14), byte(i >> 6)}), uint16(1024+i))

	return &CallerPacket{
		Segment: segment.Segment{
			Key:   segment.KeyOf(caller, testAddress),
			Flags: f,
		},
		Packet: make([]byte, 132),
	}
}

// BenchmarkEstablished measures a packet of a flow that the entry knows.
func BenchmarkEstablished(b *testing.B) {
	for _, n := range []int{10, 50, 3700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newTestCore(n)
			c.Update(0, testPacket(1, segment.SYN))
			p := testPacket(1, segment.ACK)
			c.Update(0, p)
			owner := c.flows[p.Segment.Key].tried[0]
			answer := &AgentMessage{
				From: owner,
				Message: relay.Message{
					Kind: relay.Owned,
					Key:  p.Segment.Key,
				},
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%16 == 0 {
					c.Update(time.Duration(i)*time.Microsecond, answer)
				}
				c.Update(time.Duration(i)*time.Microsecond, p)
			}
		})
	}
}

// BenchmarkOpen measures the SYN of a new flow.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{10, 50, 3700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newTestCore(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p := testPacket(i%60000, segment.SYN)
				c.Update(0, p)
				delete(c.flows, p.Segment.Key)
				delete(c.opening, p.Segment.Key)
			}
		})
	}
}

// BenchmarkSearch measures the queries for a flow that no target holds, and reports their
// datagrams and bytes.
func BenchmarkSearch(b *testing.B) {
	for _, n := range []int{10, 50, 3700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newTestCore(n)
			now := time.Duration(0)
			datagrams := 0
			bytes := 0
			count := func(list []Command) []Send {
				sent := []Send{}
				for _, x := range list {
					if s, ok := x.(*Send); ok {
						sent = append(sent, *s)
						datagrams++
						bytes += len(s.Message.Append(nil))
					}
				}

				return sent
			}
			runs := 0
			for i := 0; b.Loop(); i++ {
				runs++
				p := testPacket(i%60000, segment.ACK)
				sent := count(c.Update(now, p))
				for len(c.searches) > 0 {
					for _, s := range sent {
						c.Update(now, &AgentMessage{
							From:    s.To,
							Message: notOwnedAnswer(&s.Message),
						})
					}
					now += TickTime
					c.Update(now, CatalogConfirmed{})
					sent = count(c.Update(now, Tick{}))
				}
			}
			b.ReportMetric(float64(datagrams)/float64(runs), "datagrams/op")
			b.ReportMetric(float64(bytes)/float64(runs), "bytes/op")
		})
	}
}

func notOwnedAnswer(m *relay.Message) relay.Message {
	if m.Kind == relay.FindMany {
		ownership := make([]relay.Kind, len(m.Keys))
		for i := range ownership {
			ownership[i] = relay.NotOwned
		}

		return relay.Message{
			Kind:      relay.Answers,
			Keys:      m.Keys,
			Ownership: ownership,
		}
	}

	return relay.Message{
		Kind: relay.NotOwned,
		Key:  m.Key,
	}
}
