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

// world wires cores, targets and callers through a network that loses, repeats
// and reorders packets as its seed says. Time is virtual.
type world struct {
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
	// cut tells whether packets from one address to another are lost.
	cut     func(from, to netip.AddrPort) bool
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
	boot    uint64
	slots   int
	work    time.Duration
	parts   int
	running map[passKey]packet.Packet
	// told is when the first packet of the present start reached the agent.
	told time.Duration
	// most is the highest number of requests that ran at a time after that.
	most int
	got  int
	down bool
}

func newWorld(t *testing.T, seed uint64, targets int) *world {
	t.Helper()
	w := &world{
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
	w.merge(text)
	for i := range targets {
		a := &testAgent{
			name: fmt.Sprint("t", i),
			addr: agentAddr(i),
			target: testTarget{
				boot:    1000,
				slots:   2,
				work:    20 * time.Millisecond,
				parts:   2,
				running: map[passKey]packet.Packet{},
			},
		}
		w.agents = append(w.agents, a)
		w.start(a)
		w.tick(a)
	}

	return w
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

func (w *world) merge(text string) {
	w.t.Helper()
	k, err := ticket.Parse([]byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	w.state.Merge(k)
}

// ticket merges a ticket and tells each agent within 300 ms.
func (w *world) ticket(text string) {
	w.t.Helper()
	w.merge(text)
	for _, a := range w.agents {
		w.After(time.Duration(w.rand.Int64N(int64(300*time.Millisecond))), func() {
			w.tell(a)
		})
	}
}

func (w *world) start(a *testAgent) {
	a.incarnation++
	a.stopped = false
	a.core = New(Options{
		Self:        a.addr,
		Name:        a.name,
		Incarnation: a.incarnation,
		Keys:        w.keys,
		Seed:        w.rand.Uint64(),
	})
	w.tell(a)
}

// tell gives an agent its view of the present state.
func (w *world) tell(a *testAgent) {
	v := BuildView(&w.state, a.name, a.former...)
	v.ConfirmedUntil = w.Now + 2*time.Second
	w.update(a, ViewChanged{
		View: v,
	})
}

// tick drives an agent's timers and renews its lease every half second.
func (w *world) tick(a *testAgent) {
	w.update(a, Tick{})
	if !a.unconfirmed && w.Now/TickInterval%25 == 0 {
		w.tell(a)
	}
	w.After(TickInterval, func() {
		w.tick(a)
	})
}

func (w *world) update(a *testAgent, m Message) {
	if a.down || a.paused || a.stopped {
		return
	}
	for _, o := range a.core.Update(w.Now, m) {
		switch o := o.(type) {
		case SendTunnel:
			w.sendTunnel(a, &o)
		case SendTarget:
			w.sendTarget(a, o.Packet)
		case ReportSuspect:
			a.suspects = append(a.suspects, o)
		case WatchServices:
			a.former = slices.Clone(o.Services)
		case Stopped:
			a.stopped = true
		}
	}
}

// deliver calls f after a random delay, never or several times.
func (w *world) deliver(f func()) {
	copies := 1
	for w.rand.Float64() < w.repeat {
		copies++
	}
	for range copies {
		if w.rand.Float64() >= w.loss {
			w.After(time.Millisecond+time.Duration(w.rand.Int64N(int64(w.delay))), f)
		}
	}
}

// sendTunnel passes a command through the codec, as the runtime does.
func (w *world) sendTunnel(from *testAgent, m *SendTunnel) {
	if w.cut != nil && w.cut(from.addr, m.To) {
		return
	}
	b := m.Header.Append(nil, w.keys)
	n := len(b)
	b = append(b, m.Body...)
	if m.Body == nil {
		b = m.Packet.Append(b)
	}
	if len(b) > packet.MaxBytes {
		w.t.Errorf("%v of %d bytes", m.Header.Kind, len(b))
	}
	w.deliver(func() {
		o := FromTunnel{}
		if _, err := o.Header.Decode(b, w.keys); err != nil {
			w.t.Error(err)
			return
		}
		if m.Body != nil {
			o.Body = b[n:]
		} else if err := o.Packet.Decode(b[n:]); err != nil {
			w.t.Error(err)
			return
		}
		w.arrive(&o, m.To)
	})
}

func (w *world) arrive(m *FromTunnel, to netip.AddrPort) {
	if m.Header.Kind == packet.ToEntry {
		if f := w.callers[m.Packet.Flow]; f != nil {
			f.receive(&m.Packet)
		}
		return
	}
	for _, a := range w.agents {
		if a.addr == to {
			w.update(a, *m)
		}
	}
}

// toAgent delivers a caller's packet through an entry.
func (w *world) toAgent(a netip.AddrPort, target, incarnation uint64, p packet.Packet) {
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
	w.sendTunnel(&testAgent{
		addr: entryAddr,
	}, &m)
}

func (w *world) sendTarget(a *testAgent, p packet.Packet) {
	p.Payload = slices.Clone(p.Payload)
	w.After(100*time.Microsecond, func() {
		t := &a.target
		if t.down {
			w.update(a, TargetUnreachable{})
			return
		}
		w.targetReceive(a, &p)
	})
}

func (w *world) targetReceive(a *testAgent, p *packet.Packet) {
	t := &a.target
	boot := t.boot
	k := passKey{
		flow:   p.Flow,
		number: p.Request,
	}
	switch p.Kind {
	case packet.Hello:
		w.targetReply(a, boot, packet.Packet{
			Kind:    packet.HelloAck,
			Running: uint32(len(t.running)),
		})
	case packet.Request:
		t.got++
		if len(t.running) >= t.slots {
			w.targetReply(a, boot, packet.Packet{
				Kind:    packet.Shed,
				Flow:    p.Flow,
				Request: p.Request,
			})
			return
		}
		t.running[k] = *p
		if t.told > 0 && w.Now > t.told+time.Millisecond {
			t.most = max(t.most, len(t.running))
		}
		w.runs[k]++
		w.After(t.work/2+time.Duration(w.rand.Int64N(int64(t.work))), func() {
			w.targetDone(a, boot, k)
		})
	}
}

func (w *world) targetDone(a *testAgent, boot uint64, k passKey) {
	p, ok := a.target.running[k]
	if !ok || a.target.boot != boot {
		return
	}
	delete(a.target.running, k)
	for i := range a.target.parts {
		w.targetReply(a, boot, packet.Packet{
			Kind:    packet.Answer,
			Flow:    p.Flow,
			Request: p.Request,
			Part:    uint32(i),
			Parts:   uint32(a.target.parts),
			Payload: fmt.Appendf(nil, "%d/%d/%d", p.Flow, p.Request, i),
		})
	}
}

func (w *world) targetReply(a *testAgent, boot uint64, p packet.Packet) {
	p.Boot = boot
	w.After(time.Duration(w.rand.Int64N(int64(time.Millisecond))), func() {
		if boot == a.target.boot && a.target.told == 0 {
			a.target.told = w.Now
		}
		w.update(a, FromTarget{
			Packet: p,
		})
	})
}

// restartTarget ends all requests of a target under a new boot identity.
func (w *world) restartTarget(a *testAgent) {
	a.target.boot++
	a.target.told = 0
	a.target.most = 0
	clear(a.target.running)
}
