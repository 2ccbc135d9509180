package callers

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
	"ibisfold.example/ibisfold-standin/echo"
	"ibisfold.example/ibisfold-standin/target"
)

var address = netip.MustParseAddrPort("127.3.0.1:80")

// script returns the replies to a caller's packet. n is the number of earlier packets of its kind.
type script func(p *packet.Packet, n int) []packet.Packet

// newCallers returns callers with one flow, whose packets are answered by a script instead of
// ibisfold.
func newCallers(t *testing.T, z *Zones, s script) *Callers {
	t.Helper()
	is := is.New(t)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		seen := map[packet.Kind]int{}
		b := make([]byte, packet.MaxBytes)
		for {
			n, from, err := c.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			p := packet.Packet{}
			if p.Decode(b[:n]) != nil {
				continue
			}
			for _, r := range s(&p, seen[p.Kind]) {
				r.Flow = p.Flow
				_, _ = c.WriteToUDPAddrPort(r.Append(nil), from)
			}
			seen[p.Kind]++
		}
	}()

	e := &Entries{}
	e.Add(c.LocalAddr().(*net.UDPAddr).AddrPort())
	g := New(Options{
		Entries: e,
		Zones:   z,
		Seed:    1,
		Loads: []Load{{
			Service: "rufdienst",
			Address: address,
			Flows:   1,
		}},
	})
	t.Cleanup(g.Close)

	return g
}

func token(agent, zone string) packet.Token {
	return packet.Token{
		Key:   1,
		Agent: netip.MustParseAddrPort(agent),
		Zone:  ticket.ID(zone),
	}
}

var (
	firstToken  = token("127.2.1.11:7100", "iphofen")
	secondToken = token("127.2.2.11:7100", "escherndorf")
)

func opened() packet.Packet {
	return packet.Packet{
		Kind:  packet.Opened,
		Token: firstToken,
	}
}

func part(p *packet.Packet, service string, i, n uint8) packet.Packet {
	a := echo.Answer{
		Service: ticket.ID(service),
		Flow:    p.Flow,
		Request: p.Request,
		Part:    i,
		Parts:   n,
	}

	return packet.Packet{
		Kind:    packet.Answer,
		Request: p.Request,
		Part:    uint32(i),
		Parts:   uint32(n),
		Payload: a.Append(nil, 5),
	}
}

// runFlow opens the flow, sends a request if wanted, and closes the flow.
func runFlow(t *testing.T, g *Callers, request bool) {
	t.Helper()
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	is.NoErr(g.Open(ctx))
	f := g.groups[0].flowAt(0)
	for ; f == nil; f = g.groups[0].flowAt(0) {
		time.Sleep(time.Millisecond)
	}
	if request {
		f.handleArrival(ctx, Arrival{
			Parts: 1,
		}, time.Now())
	}
	stop()
	g.CloseFlows()
}

// TestFlow guards against callers that mishandle lost packets, parts, refusals, new tokens or
// resets, and so would hide faults of ibisfold.
func TestFlow(t *testing.T) {
	out := &Zones{}
	out.Set("iphofen", false, time.Now())
	cases := []struct {
		name    string
		zones   *Zones
		request func(p *packet.Packet, n int) []packet.Packet
		check   func(is *is.I, c Counts)
	}{
		{
			name: "lost request and parts in disorder",
			request: func(p *packet.Packet, n int) []packet.Packet {
				if n == 0 {
					return nil
				}

				return []packet.Packet{part(p, "rufdienst", 1, 2), part(p, "rufdienst", 1, 2), part(p, "rufdienst", 0, 2)}
			},
			check: func(is *is.I, c Counts) {
				is.Equal(c.Answered, 1)
				is.True(c.Repeats >= 1)
				is.Equal(c.Broken, 0)
			},
		},
		{
			name: "answers of another service and another request",
			request: func(p *packet.Packet, _ int) []packet.Packet {
				other := part(p, "rufdienst", 0, 1)
				other.Payload[20] ^= 1

				return []packet.Packet{part(p, "kartendienst", 0, 1), other, part(p, "rufdienst", 0, 1)}
			},
			check: func(is *is.I, c Counts) {
				is.Equal(c.WrongService, 1)
				is.Equal(c.WrongAnswers, 1)
				is.Equal(c.Answered, 1)
			},
		},
		{
			name: "refused, then moved and answered",
			request: func(p *packet.Packet, n int) []packet.Packet {
				if n == 0 {
					return []packet.Packet{{
						Kind:       packet.Refused,
						Request:    p.Request,
						Status:     packet.StatusNotRun,
						RetryAfter: time.Millisecond,
					}}
				}
				if p.Request != 2 {
					return nil
				}

				return []packet.Packet{{Kind: packet.Moved, Token: secondToken}, part(p, "rufdienst", 0, 1)}
			},
			check: func(is *is.I, c Counts) {
				is.Equal(c.Refusals, 1)
				is.Equal(c.Moved, 1)
				is.Equal(c.Answered, 1)
			},
		},
		{
			name: "reset with unknown outcome",
			request: func(p *packet.Packet, _ int) []packet.Packet {
				return []packet.Packet{{Kind: packet.Reset, Request: p.Request, Status: packet.StatusOutcomeUnknown}}
			},
			check: func(is *is.I, c Counts) {
				is.Equal(c.Unknown, 1)
				is.Equal(c.Broken, 1)
			},
		},
		{
			name:  "reset of a zone that is out",
			zones: out,
			request: func(p *packet.Packet, _ int) []packet.Packet {
				return []packet.Packet{{Kind: packet.Reset, Request: p.Request}}
			},
			check: func(is *is.I, c Counts) {
				is.Equal(c.Ended, 1)
				is.Equal(c.Broken, 0)
				is.Equal(c.GivenUp, 1)
			},
		},
		{
			name: "reset of an earlier token",
			request: func(p *packet.Packet, _ int) []packet.Packet {
				return []packet.Packet{{Kind: packet.Moved, Token: secondToken}, {Kind: packet.Reset, Token: firstToken}, part(p, "rufdienst", 0, 1)}
			},
			check: func(is *is.I, c Counts) {
				is.Equal(c.Answered, 1)
				is.Equal(c.Broken, 0)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newCallers(t, c.zones, func(p *packet.Packet, n int) []packet.Packet {
				switch p.Kind {
				case packet.Open:
					if n == 0 {
						return nil
					}

					return []packet.Packet{opened()}
				case packet.KeepAlive:
					return []packet.Packet{{Kind: packet.KeepAlive}}
				case packet.Request:
					return c.request(p, n)
				case packet.Close:
					return []packet.Packet{{Kind: packet.Closed}}
				}

				return nil
			})
			runFlow(t, g, true)
			c.check(is.New(t), g.Stats(0).Counts())
		})
	}
}

// TestTokenOfFirstOpened guards against a flow that switches to another agent because a
// retransmitted Open reached it.
func TestTokenOfFirstOpened(t *testing.T) {
	is := is.New(t)
	mu := sync.Mutex{}
	used := packet.Token{}
	g := newCallers(t, nil, func(p *packet.Packet, _ int) []packet.Packet {
		switch p.Kind {
		case packet.Open:
			return []packet.Packet{opened(), {Kind: packet.Opened, Token: secondToken}}
		case packet.KeepAlive:
			return []packet.Packet{{Kind: packet.KeepAlive}}
		case packet.Close:
			mu.Lock()
			defer mu.Unlock()
			used = p.Token

			return []packet.Packet{{Kind: packet.Closed}}
		}

		return nil
	})
	runFlow(t, g, false)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(used, firstToken)
	is.Equal(g.Total().Flows, 1)
}

// TestFalseNotRun guards against Stats.FalseNotRun overlooking a request that was refused with the
// status not run although a target ran it.
func TestFalseNotRun(t *testing.T) {
	is := is.New(t)
	s := NewStats()
	m := target.NewModel(target.Options{
		Slots: 1,
	})
	m.Receive(0, address, &packet.Packet{
		Kind:    packet.Request,
		Flow:    1,
		Request: 1,
	})
	s.addRefusal(target.Run{Flow: 1, Request: 1})
	s.addRefusal(target.Run{Flow: 1, Request: 2})
	is.Equal(s.FalseNotRun(m.Ledger), 1)
}

// TestArrivalsAreReproducible guards against a load that differs between two runs with the same
// seed, or that misses its rate or its skew.
func TestArrivalsAreReproducible(t *testing.T) {
	for _, burst := range []int{1, 5} {
		is := is.New(t)
		l := Load{
			Flows:      10,
			Rate:       100,
			Burst:      burst,
			Idempotent: 0.5,
			Skew:       1,
		}
		a, b := NewArrivals(l, 3), NewArrivals(l, 3)
		last := Arrival{}
		count := [10]int{}
		for range 10000 {
			last = a.Next()
			is.Equal(last, b.Next())
			count[last.Flow]++
		}
		is.True(last.At > 90*time.Second && last.At < 110*time.Second)
		is.True(count[0] > 5*count[9])
	}
}
