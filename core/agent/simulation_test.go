package agent

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/simclock"
	"ibisfold.example/core/ticket"
)

// simulation connects cores, targets and callers through a network that loses,
// repeats and reorders packets. Its seed determines every random choice; time
// is virtual.
type simulation struct {
	simclock.Clock

	t      *testing.T
	rand   *rand.Rand
	keys   *keyring.Keyring
	state  ticket.State
	agents []*testAgent
	// loss and repeat are probabilities; delay is the longest one-way delay.
	loss   float64
	repeat float64
	delay  time.Duration
	// isCut reports whether packets from one address to another are lost.
	isCut   func(from, to netip.AddrPort) bool
	callers map[uint64]*testCaller
	runs    map[passKey]int
}

// testAgent is one agent process and the target beside it.
type testAgent struct {
	name        string
	addr        netip.AddrPort
	incarnation uint64
	core        *Core
	down        bool
	paused      bool
	unconfirmed bool
	stopped     bool
	former      []uint64
	suspects    []ReportSuspect
	target      testTarget
}

// testTarget runs requests in slots and sheds what exceeds them.
type testTarget struct {
	boot        uint64
	slots       int
	serviceTime time.Duration
	parts       int
	running     map[passKey]packet.Packet
	// firstReplyAt is when the first packet of the target's present start reached
	// the agent.
	firstReplyAt time.Duration
	// maxRunning is the highest number of requests that ran at a time after that.
	maxRunning int
	received   int
	down       bool
}

func newSimulation(t *testing.T, seed uint64, targets int) *simulation {
	t.Helper()
	s := &simulation{
		t:       t,
		rand:    rand.New(rand.NewPCG(seed, 1)),
		keys:    testKeys(t),
		delay:   10 * time.Millisecond,
		callers: map[uint64]*testCaller{},
		runs:    map[passKey]int{},
	}
	text := "Ticket: 1\nServices:\n  - {Name: s, Tenant: t, Addresses: [127.0.0.9:80]}\n  - {Name: u, Tenant: t, Addresses: [127.0.0.9:81]}\n" +
		"Zones:\n  - {Name: z0}\n  - {Name: z1}\n  - {Name: z2}\nTargets:\n"
	for i := range targets {
		text += targetLine(i, "s", "")
	}
	s.merge(text)
	for i := range targets {
		a := &testAgent{
			name: fmt.Sprint("t", i),
			addr: agentAddr(i),
			target: testTarget{
				boot:        1000,
				slots:       2,
				serviceTime: 20 * time.Millisecond,
				parts:       2,
				running:     map[passKey]packet.Packet{},
			},
		}
		s.agents = append(s.agents, a)
		s.startAgent(a)
		s.tickAgent(a)
	}

	return s
}

func testKeys(t testing.TB) *keyring.Keyring {
	keys, err := keyring.New([]keyring.Key{{
		ID:     1,
		Secret: "000102030405060708090a0b0c0d0e0f",
	}})
	if err != nil {
		t.Fatal(err)
	}

	return keys
}

func targetLine(i int, service, state string) string {
	return fmt.Sprintf("  - {Name: t%d, Service: %s, Zone: z%d, Agent: '%s', Slots: 2, Connections: 100, State: %s}\n",
		i, service, i%3, agentAddr(i), cmp.Or(state, "InService"))
}

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7100)
}

var (
	entryAddr   = netip.MustParseAddrPort("127.0.2.1:7000")
	serviceAddr = netip.MustParseAddrPort("127.0.0.9:80")
)

func (s *simulation) merge(text string) {
	s.t.Helper()
	k, err := ticket.Parse([]byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	s.state.Merge(k)
}

// issueTicket merges a ticket and sends each agent its new view within 300 ms.
func (s *simulation) issueTicket(text string) {
	s.t.Helper()
	s.merge(text)
	for _, a := range s.agents {
		s.After(time.Duration(s.rand.Int64N(int64(300*time.Millisecond))), func() {
			s.pushView(a)
		})
	}
}

func (s *simulation) startAgent(a *testAgent) {
	a.incarnation++
	a.stopped = false
	a.core = New(Options{
		Self:        a.addr,
		Name:        a.name,
		Incarnation: a.incarnation,
		Keys:        s.keys,
		Seed:        s.rand.Uint64(),
	})
	s.pushView(a)
}

// pushView gives an agent its view of the present state, with a lease of 2 s.
func (s *simulation) pushView(a *testAgent) {
	v := BuildView(&s.state, a.name, a.former...)
	v.ConfirmedUntil = s.Now + 2*time.Second
	s.update(a, ViewChanged{
		View: v,
	})
}

// tickAgent drives an agent's timers and renews its lease every half second.
func (s *simulation) tickAgent(a *testAgent) {
	s.update(a, Tick{})
	if !a.unconfirmed && s.Now/TickInterval%25 == 0 {
		s.pushView(a)
	}
	s.After(TickInterval, func() {
		s.tickAgent(a)
	})
}

func (s *simulation) update(a *testAgent, m Message) {
	if a.down || a.paused || a.stopped {
		return
	}
	for _, o := range a.core.Update(s.Now, m) {
		switch o := o.(type) {
		case SendTunnel:
			s.sendTunnel(a, &o)
		case SendTarget:
			s.sendTarget(a, o.Packet)
		case ReportSuspect:
			a.suspects = append(a.suspects, o)
		case WatchServices:
			a.former = slices.Clone(o.Services)
		case Stopped:
			a.stopped = true
		}
	}
}

// deliver calls f after a random delay: once, several times or never.
func (s *simulation) deliver(f func()) {
	copies := 1
	for s.rand.Float64() < s.repeat {
		copies++
	}
	for range copies {
		if s.rand.Float64() >= s.loss {
			s.After(time.Millisecond+time.Duration(s.rand.Int64N(int64(s.delay))), f)
		}
	}
}

// sendTunnel encodes and decodes a packet, as the runtime does, and delivers
// it.
func (s *simulation) sendTunnel(from *testAgent, m *SendTunnel) {
	if s.isCut != nil && s.isCut(from.addr, m.To) {
		return
	}
	b := m.Header.Append(nil, s.keys)
	n := len(b)
	b = append(b, m.Body...)
	if m.Body == nil {
		b = m.Packet.Append(b)
	}
	if len(b) > packet.MaxBytes {
		s.t.Errorf("%v of %d bytes", m.Header.Kind, len(b))
	}
	s.deliver(func() {
		o := FromTunnel{}
		if _, err := o.Header.Decode(b, s.keys); err != nil {
			s.t.Error(err)
			return
		}
		if m.Body != nil {
			o.Body = b[n:]
		} else if err := o.Packet.Decode(b[n:]); err != nil {
			s.t.Error(err)
			return
		}
		s.receiveTunnel(&o, m.To)
	})
}

func (s *simulation) receiveTunnel(m *FromTunnel, to netip.AddrPort) {
	if m.Header.Kind == packet.ToEntry {
		if f := s.callers[m.Packet.Flow]; f != nil {
			f.receive(&m.Packet)
		}
		return
	}
	for _, a := range s.agents {
		if a.addr == to {
			s.update(a, *m)
		}
	}
}

// sendToAgent delivers a caller's packet through an entry.
func (s *simulation) sendToAgent(a netip.AddrPort, target, incarnation uint64, p packet.Packet) {
	m := SendTunnel{
		To: a,
		Header: packet.Tunnel{
			Kind:        packet.ToAgent,
			Service:     ticket.ID("s"),
			Target:      target,
			Incarnation: incarnation,
			Sender:      entryAddr,
			Entry:       entryAddr,
			Caller:      entryAddr,
		},
		Packet: p,
	}
	s.sendTunnel(&testAgent{
		addr: entryAddr,
	}, &m)
}

func (s *simulation) sendTarget(a *testAgent, p packet.Packet) {
	p.Payload = slices.Clone(p.Payload)
	s.After(100*time.Microsecond, func() {
		t := &a.target
		if t.down {
			s.update(a, TargetUnreachable{})
			return
		}
		s.targetReceive(a, &p)
	})
}

func (s *simulation) targetReceive(a *testAgent, p *packet.Packet) {
	t := &a.target
	boot := t.boot
	k := passKey{
		flow:   p.Flow,
		number: p.Request,
	}
	switch p.Kind {
	case packet.Hello:
		s.targetReply(a, boot, packet.Packet{
			Kind:    packet.HelloAck,
			Running: uint32(len(t.running)),
		})
	case packet.Request:
		t.received++
		if len(t.running) >= t.slots {
			s.targetReply(a, boot, packet.Packet{
				Kind:    packet.Shed,
				Flow:    p.Flow,
				Request: p.Request,
			})
			return
		}
		t.running[k] = *p
		if t.firstReplyAt > 0 && s.Now > t.firstReplyAt+time.Millisecond {
			t.maxRunning = max(t.maxRunning, len(t.running))
		}
		s.runs[k]++
		s.After(t.serviceTime/2+time.Duration(s.rand.Int64N(int64(t.serviceTime))), func() {
			s.targetDone(a, boot, k)
		})
	}
}

func (s *simulation) targetDone(a *testAgent, boot uint64, k passKey) {
	p, ok := a.target.running[k]
	if !ok || a.target.boot != boot {
		return
	}
	delete(a.target.running, k)
	for i := range a.target.parts {
		s.targetReply(a, boot, packet.Packet{
			Kind:    packet.Answer,
			Flow:    p.Flow,
			Request: p.Request,
			Part:    uint32(i),
			Parts:   uint32(a.target.parts),
			Payload: fmt.Appendf(nil, "%d/%d/%d", p.Flow, p.Request, i),
		})
	}
}

func (s *simulation) targetReply(a *testAgent, boot uint64, p packet.Packet) {
	p.Boot = boot
	s.After(time.Duration(s.rand.Int64N(int64(time.Millisecond))), func() {
		if boot == a.target.boot && a.target.firstReplyAt == 0 {
			a.target.firstReplyAt = s.Now
		}
		s.update(a, FromTarget{
			Packet: p,
		})
	})
}

// restartTarget ends all requests of a target and gives it a new boot identity.
func (s *simulation) restartTarget(a *testAgent) {
	a.target.boot++
	a.target.firstReplyAt = 0
	a.target.maxRunning = 0
	clear(a.target.running)
}
