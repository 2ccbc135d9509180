package agent

import (
	"fmt"
	"testing"
	"time"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// testCaller opens one flow and sends requests one after the other, or several
// at a time. It repeats packets until they are answered.
type testCaller struct {
	w     *world
	flow  uint64
	at    *testAgent
	token packet.Token
	open  bool
	reset bool
	left  int
	next  uint64
	idle  time.Duration
	// idempotent and deadline are those of all requests.
	idempotent bool
	deadline   time.Duration
	waiting    map[uint64]*call
	outcomes   map[uint64]outcome
}

type call struct {
	parts map[uint32]bool
	sent  time.Duration
}

type outcome struct {
	kind   packet.Kind
	status packet.Status
	after  time.Duration
	took   time.Duration
}

// openRepeat is the time until a caller repeats Open for the first time.
const openRepeat = 200 * time.Millisecond

// caller starts a caller whose flow is opened at an agent.
func (w *world) caller(a *testAgent, requests, parallel int) *testCaller {
	f := &testCaller{
		w:        w,
		flow:     w.rand.Uint64() | 1,
		at:       a,
		left:     requests,
		deadline: 5 * time.Second,
		idle:     10 * time.Millisecond,
		waiting:  map[uint64]*call{},
		outcomes: map[uint64]outcome{},
	}
	w.callers[f.flow] = f
	f.connect(parallel, openRepeat)

	return f
}

func (f *testCaller) connect(parallel int, wait time.Duration) {
	if f.open {
		return
	}
	f.w.toAgent(f.at.addr, ticket.ID(f.at.name), 0, f.packet(packet.Open))
	f.w.After(wait, func() {
		f.connect(parallel, min(2*wait, 2*time.Second))
	})
	if wait == openRepeat {
		f.start(parallel)
	}
}

// start begins the requests once the flow is open.
func (f *testCaller) start(parallel int) {
	if !f.open {
		f.w.After(20*time.Millisecond, func() {
			f.start(parallel)
		})
		return
	}
	for range parallel {
		f.ask()
	}
	f.keepAlive()
}

func (f *testCaller) keepAlive() {
	if f.reset {
		return
	}
	f.send(f.packet(packet.KeepAlive))
	f.w.After(2*time.Second, f.keepAlive)
}

func (f *testCaller) packet(k packet.Kind) packet.Packet {
	return packet.Packet{
		Kind:    k,
		Service: serviceAddr,
		Flow:    f.flow,
		Token:   f.token,
		Tenant:  []byte("tenant"),
	}
}

func (f *testCaller) send(p packet.Packet) {
	f.w.toAgent(f.token.Agent, f.token.Target, f.token.Incarnation, p)
}

// ask sends the next request.
func (f *testCaller) ask() {
	if f.left == 0 || f.reset {
		return
	}
	f.left--
	f.next++
	f.waiting[f.next] = &call{
		parts: map[uint32]bool{},
		sent:  f.w.Now,
	}
	f.repeat(f.next, 100*time.Millisecond)
}

// repeat sends a request until it has an outcome.
func (f *testCaller) repeat(number uint64, wait time.Duration) {
	c := f.waiting[number]
	if c == nil || f.reset {
		return
	}
	p := f.packet(packet.Request)
	p.Request = number
	p.Idempotent = f.idempotent
	p.Deadline = max(time.Millisecond, f.deadline-(f.w.Now-c.sent))
	p.Payload = fmt.Appendf(nil, "%d/%d", f.flow, number)
	f.send(p)
	f.w.After(wait, func() {
		f.repeat(number, min(2*wait, time.Second))
	})
}

func (f *testCaller) receive(p *packet.Packet) {
	switch p.Kind {
	case packet.Opened:
		if !f.open {
			f.open = true
			f.token = p.Token
		}
		return
	case packet.Moved:
		f.token = p.Token
		f.send(f.packet(packet.KeepAlive))
		return
	case packet.Reset:
		f.ended(p)
		return
	}

	if f.open && !p.Token.IsZero() {
		f.token = p.Token
	}
	c := f.waiting[p.Request]
	if c == nil {
		return
	}
	if p.Kind == packet.Answer && !f.add(c, p) {
		return
	}
	f.finish(p)
	f.w.After(f.idle, f.ask)
}

func (f *testCaller) ended(p *packet.Packet) {
	if !p.Token.IsZero() && p.Token != f.token {
		return
	}
	if f.waiting[p.Request] != nil {
		f.finish(p)
	}
	f.reset = true
}

// add checks that a part belongs to the request and reports whether the answer
// is whole.
func (f *testCaller) add(c *call, p *packet.Packet) bool {
	want := fmt.Sprintf("%d/%d/%d", f.flow, p.Request, p.Part)
	if string(p.Payload) != want {
		f.w.t.Errorf("answer %q, want %q", p.Payload, want)
	}
	c.parts[p.Part] = true

	return len(c.parts) == int(p.Parts)
}

func (f *testCaller) finish(p *packet.Packet) {
	f.outcomes[p.Request] = outcome{
		kind:   p.Kind,
		status: p.Status,
		after:  p.RetryAfter,
		took:   f.w.Now - f.waiting[p.Request].sent,
	}
	delete(f.waiting, p.Request)
}

// count returns how many requests ended with a status.
func (f *testCaller) count(s packet.Status) int {
	n := 0
	for _, o := range f.outcomes {
		if o.status == s {
			n++
		}
	}

	return n
}

// check fails the test if an outcome is not true: a request that is not
// idempotent ran twice, one that was refused as not run ran, or one without
// refusal was answered without having run.
func (w *world) check(t *testing.T) {
	t.Helper()
	for k, n := range w.runs {
		if n > 1 && !w.callers[k.flow].idempotent {
			t.Errorf("flow %x request %d ran %d times", k.flow, k.number, n)
		}
	}
	for _, f := range w.callers {
		for n, o := range f.outcomes {
			runs := w.runs[passKey{
				flow:   f.flow,
				number: n,
			}]
			switch {
			case o.status == packet.StatusNotRun && runs > 0:
				t.Errorf("flow %x request %d was reported as not run but ran", f.flow, n)
			case o.kind == packet.Answer && runs == 0:
				t.Errorf("flow %x request %d was answered but did not run", f.flow, n)
			}
		}
	}
}

// total adds up the outcomes of all callers.
func (w *world) total(s packet.Status) int {
	n := 0
	for _, f := range w.callers {
		n += f.count(s)
	}

	return n
}

func (w *world) resets() int {
	n := 0
	for _, f := range w.callers {
		if f.reset {
			n++
		}
	}

	return n
}

// left counts requests that were not sent or have no outcome because their
// flow was reset.
func (w *world) left() int {
	n := 0
	for _, f := range w.callers {
		if f.reset {
			n += f.left + len(f.waiting)
		}
	}

	return n
}
