package agent

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// maxFlowStateBytes is the design limit for the state of one flow, in bytes.
const maxFlowStateBytes = 256

// benchCore returns a core without peers whose target has answered Hello.
func benchCore(t testing.TB, connections, slots int) *Core {
	c := New(Options{
		Self:        agentAddr(0),
		Name:        "t0",
		Incarnation: 1,
		Keys:        testKeys(t),
		Seed:        1,
	})
	c.Update(0, ViewChanged{
		View: &View{
			Ticket:         1,
			Known:          true,
			Service:        ticket.ID("s"),
			Zone:           ticket.ID("z0"),
			Target:         ticket.ID("t0"),
			ZoneInService:  true,
			Slots:          slots,
			Connections:    connections,
			ConfirmedUntil: time.Hour,
		},
	})
	c.Update(0, Tick{})
	c.Update(0, FromTarget{
		Packet: packet.Packet{
			Kind: packet.HelloAck,
			Boot: 9,
		},
	})

	return c
}

func fromEntry(p packet.Packet) FromTunnel {
	p.Service = serviceAddr
	p.Tenant = []byte("tenant")

	return FromTunnel{
		Header: packet.Tunnel{
			Kind:    packet.ToAgent,
			Service: ticket.ID("s"),
			Target:  ticket.ID("t0"),
			Sender:  entryAddr,
			Entry:   entryAddr,
			Caller:  entryAddr,
		},
		Packet: p,
	}
}

// openFlow opens a flow and uses it once.
func openFlow(c *Core, now time.Duration, n uint64) packet.Token {
	out := c.Update(now, fromEntry(packet.Packet{
		Kind: packet.Open,
		Flow: n,
	}))
	token := out[0].(SendTunnel).Packet.Token
	c.Update(now, fromEntry(packet.Packet{
		Kind:  packet.KeepAlive,
		Flow:  n,
		Token: token,
	}))

	return token
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}

func flowBytes(t testing.TB, flows int) float64 {
	c := benchCore(t, flows, 2)
	before := heapBytes()
	for i := range uint64(flows) {
		openFlow(c, 0, i+1)
	}
	after := heapBytes()
	if c.Load().Flows != flows {
		t.Fatalf("%d flows, want %d", c.Load().Flows, flows)
	}
	runtime.KeepAlive(c)

	return float64(after-before) / float64(flows)
}

// Guards against flow state above the design limit, at the expected number of
// flows and at ten times as many.
func TestFlowBytes(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{2000, 7000, 14500, 20000} {
		b := flowBytes(t, n)
		t.Logf("%d flows: %.0f bytes each", n, b)
		is.True(b <= maxFlowStateBytes)
	}
}

// BenchmarkFlowBytes reports the heap that one flow takes.
func BenchmarkFlowBytes(b *testing.B) {
	for _, n := range []int{2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sum := 0.0
			for b.Loop() {
				sum += flowBytes(b, n)
			}
			b.ReportMetric(sum/float64(b.N), "bytes/flow")
		})
	}
}

// BenchmarkRequest measures both calls of Update for a request: from its
// arrival until it is passed to the target, and from the answer until the
// reply.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{1, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			benchRequest(b, n)
		})
	}
}

func benchRequest(b *testing.B, flows int) {
	c := benchCore(b, flows, 2)
	tokens := []packet.Token{}
	for i := range uint64(flows) {
		tokens = append(tokens, openFlow(c, 0, i+1))
	}
	payload := make([]byte, 200)
	now := time.Duration(0)
	number := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		number++
		now += 10 * time.Microsecond
		flow := number%uint64(flows) + 1
		c.Update(now, fromEntry(packet.Packet{
			Kind:    packet.Request,
			Flow:    flow,
			Request: number,
			Token:   tokens[flow-1],
			Payload: payload,
		}))
		out := c.Update(now, FromTarget{
			Packet: packet.Packet{
				Kind:    packet.Answer,
				Flow:    flow,
				Request: number,
				Boot:    9,
				Payload: payload,
			},
		})
		if len(out) == 0 {
			b.Fatal("no answer")
		}
	}
}

// BenchmarkDuplicate measures the repetition of an answer from the cache.
func BenchmarkDuplicate(b *testing.B) {
	c := benchCore(b, 10, 2)
	m := fromEntry(packet.Packet{
		Kind:    packet.Request,
		Flow:    1,
		Request: 1,
		Token:   openFlow(c, 0, 1),
	})
	c.Update(0, m)
	c.Update(0, FromTarget{
		Packet: packet.Packet{
			Kind:    packet.Answer,
			Flow:    1,
			Request: 1,
			Boot:    9,
		},
	})
	b.ReportAllocs()
	for b.Loop() {
		c.Update(0, m)
	}
}

// BenchmarkTick measures the timers of an agent with idle flows.
func BenchmarkTick(b *testing.B) {
	c := benchCore(b, 20000, 2)
	for i := range uint64(20000) {
		openFlow(c, 0, i+1)
	}
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		c.Update(now, Tick{})
	}
}
