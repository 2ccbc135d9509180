package target

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
	"ibisfold.example/ibisfold-standin/echo"
)

var (
	agentAddr   = netip.MustParseAddrPort("127.1.1.11:7100")
	serviceAddr = netip.MustParseAddrPort("127.3.0.1:80")
)

func newModel() *Model {
	m := NewModel(Options{
		Name:   "rufdienst-1",
		Slots:  2,
		Work:   50 * time.Millisecond,
		WarmUp: time.Second,
		Seed:   1,
	})
	m.Serve(0, 0, "rufdienst", []netip.AddrPort{serviceAddr})

	return m
}

func request(n uint64) *packet.Packet {
	a := echo.RequestPayload{
		Service: ticket.ID("rufdienst"),
		Parts:   2,
		Bytes:   10,
	}

	return &packet.Packet{
		Kind:    packet.Request,
		Service: serviceAddr,
		Flow:    9,
		Request: n,
		Attempt: 4,
		Payload: a.Append(nil),
	}
}

// TestAnswerParts guards against answers with missing parts, and against parts that callers or
// agents can't match with their request.
func TestAnswerParts(t *testing.T) {
	is := is.New(t)
	m := newModel()
	is.Equal(len(m.Receive(0, agentAddr, request(1))), 0)
	end, ok := m.Next()
	is.True(ok)
	replies := m.Due(end)
	is.Equal(len(replies), 2)
	for i, r := range replies {
		w := echo.Answer{
			Service: ticket.ID("rufdienst"),
			Flow:    9,
			Request: 1,
			Part:    uint8(i),
			Parts:   2,
		}
		is.NoErr(w.Check(r.Packet.Payload))
		is.Equal(r.To, agentAddr)
		is.Equal(r.Packet.Attempt, uint32(4))
		is.True(r.Packet.Boot != 0)
	}
	is.Equal(m.Ledger.Total(), 1)
}

// TestWarmTargetSheds guards against a target that runs more requests than it has slots.
func TestWarmTargetSheds(t *testing.T) {
	is := is.New(t)
	m := newModel()
	for n := range uint64(2) {
		is.Equal(len(m.Receive(0, agentAddr, request(n+1))), 0)
	}
	r := m.Receive(0, agentAddr, request(3))
	is.Equal(len(r), 1)
	is.Equal(r[0].Packet.Kind, packet.Shed)
	is.Equal(m.Ledger.Runs(Run{Flow: 9, Request: 3}), 0)
}

// TestColdTarget guards against a cold target that accepts the load of a warm one, and against
// blaming an agent for overload before it could know that the target is cold.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	m := newModel()
	boot := m.boot
	m.Restart(0, false)
	is.Equal(m.boot, boot)
	is.Equal(m.MaxRunning(0), 1)
	is.Equal(m.MaxRunning(time.Second), 2)

	m.Receive(0, agentAddr, request(1))
	r := m.Receive(time.Millisecond, agentAddr, request(2))
	is.Equal(r[0].Packet.Kind, packet.Shed)
	is.Equal(m.Counters.Surprised, 1)
	is.Equal(m.Counters.OverBound, 0)

	m.Receive(60*time.Millisecond, agentAddr, request(3))
	is.Equal(m.Counters.OverBound, 1)
	is.Equal(m.Counters.Falls, 1)
	is.True(m.boot != boot)
	is.Equal(m.Running(), 0)
}

// TestDoubleRunsAndWrongService guards against repeated runs and misrouted requests that the target
// does not count.
func TestDoubleRunsAndWrongService(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.Receive(0, agentAddr, request(1))
	m.Due(time.Second)
	m.Receive(time.Second, agentAddr, request(1))
	m.Due(2 * time.Second)
	is.Equal(m.Ledger.DoubleRuns(), []Run{{Flow: 9, Request: 1}})

	idempotent := request(2)
	idempotent.Idempotent = true
	m.Receive(3*time.Second, agentAddr, idempotent)
	m.Receive(3*time.Second, agentAddr, idempotent)
	is.Equal(len(m.Ledger.DoubleRuns()), 1)

	m.Serve(4*time.Second, time.Second, "kartendienst", []netip.AddrPort{netip.MustParseAddrPort("127.3.0.2:80")})
	m.Receive(5*time.Second, agentAddr, request(3))
	is.Equal(m.Counters.WrongService, 0)
	m.Receive(6*time.Second, agentAddr, request(4))
	is.Equal(m.Counters.WrongService, 1)
	is.Equal(m.Misrouted[0].Run.Request, uint64(4))
}

// TestTargetOnSocket guards against a target that blocks on its socket and so never answers the
// requests that are due.
func TestTargetOnSocket(t *testing.T) {
	is := is.New(t)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), time.Now(), Options{
		Name:  "rufdienst-1",
		Slots: 1,
		Work:  time.Millisecond,
	})
	is.NoErr(err)
	defer s.Close()
	s.Serve(0, "rufdienst", []netip.AddrPort{serviceAddr})
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Addr()))
	is.NoErr(err)
	defer c.Close()

	_, err = c.Write(request(1).Append(nil))
	is.NoErr(err)
	b := make([]byte, packet.MaxBytes)
	for range 2 {
		n, err := c.Read(b)
		is.NoErr(err)
		p := packet.Packet{}
		is.NoErr(p.Decode(b[:n]))
		is.Equal(p.Kind, packet.Answer)
	}
	is.Equal(s.Counters().Runs, 1)
}

// TestLoadReports guards against simulated faults of load reports that have no effect.
func TestLoadReports(t *testing.T) {
	is := is.New(t)
	r := &Report{Factor: 10}
	is.Equal(r.reported(0, 2), uint32(20))
	r = &Report{Lag: 10 * time.Second}
	is.Equal(r.reported(0, 2), uint32(0))
	is.Equal(r.reported(10*time.Second, 1), uint32(2))
	r.Frozen = true
	is.Equal(r.reported(time.Minute, 7), uint32(2))
}

// TestImbalance guards against counting targets that are out of service as imbalance.
func TestImbalance(t *testing.T) {
	is := is.New(t)
	a, b := Usage{}, Usage{}
	a.setInService(0, 0, true)
	b.setInService(0, 0, true)
	a.advance(Window, 2)
	b.advance(Window, 1)
	b.setInService(Window, 0, false)
	a.advance(2*Window, 2)
	b.advance(2*Window, 0)
	u := []Usage{a, b}
	is.Equal(Imbalance(u, 0, 2*Window), []float64{2 / 1.5, 1})
	is.Equal(Imbalance(u, 1, 2*Window), []float64{1})
	is.Equal(Imbalance(u, 0, 2*Window-1), []float64{2 / 1.5})
}
