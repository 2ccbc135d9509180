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
	sim         *simulation
	flow        uint64
	openAt      *testAgent
	token       packet.Token
	open        bool
	reset       bool
	remaining   int
	lastRequest uint64
	thinkTime   time.Duration
	// idempotent and deadline apply to all requests.
	idempotent bool
	deadline   time.Duration
	waiting    map[uint64]*pendingRequest
	outcomes   map[uint64]outcome
}

type pendingRequest struct {
	parts map[uint32]bool
	sent  time.Duration
}

type outcome struct {
	kind       packet.Kind
	status     packet.Status
	retryAfter time.Duration
	elapsed    time.Duration
}

// openRetryDelay is the time until a caller repeats Open for the first time.
const openRetryDelay = 200 * time.Millisecond

// startCaller starts a caller that opens its flow at an agent.
func (s *simulation) startCaller(a *testAgent, requests, parallel int) *testCaller {
	f := &testCaller{
		sim:       s,
		flow:      s.rand.Uint64() | 1,
		openAt:    a,
		remaining: requests,
		deadline:  5 * time.Second,
		thinkTime: 10 * time.Millisecond,
		waiting:   map[uint64]*pendingRequest{},
		outcomes:  map[uint64]outcome{},
	}
	s.callers[f.flow] = f
	f.connect(parallel, openRetryDelay)

	return f
}

func (f *testCaller) connect(parallel int, wait time.Duration) {
	if f.open {
		return
	}
	f.sim.sendToAgent(f.openAt.addr, ticket.ID(f.openAt.name), 0, f.packet(packet.Open))
	f.sim.After(wait, func() {
		f.connect(parallel, min(2*wait, 2*time.Second))
	})
	if wait == openRetryDelay {
		f.startWhenOpen(parallel)
	}
}

// startWhenOpen starts the requests once the flow is open.
func (f *testCaller) startWhenOpen(parallel int) {
	if !f.open {
		f.sim.After(20*time.Millisecond, func() {
			f.startWhenOpen(parallel)
		})
		return
	}
	for range parallel {
		f.sendNext()
	}
	f.keepAlive()
}

func (f *testCaller) keepAlive() {
	if f.reset {
		return
	}
	f.send(f.packet(packet.KeepAlive))
	f.sim.After(2*time.Second, f.keepAlive)
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
	f.sim.sendToAgent(f.token.Agent, f.token.Target, f.token.Incarnation, p)
}

// sendNext sends the next request.
func (f *testCaller) sendNext() {
	if f.remaining == 0 || f.reset {
		return
	}
	f.remaining--
	f.lastRequest++
	f.waiting[f.lastRequest] = &pendingRequest{
		parts: map[uint32]bool{},
		sent:  f.sim.Now,
	}
	f.sendUntilAnswered(f.lastRequest, 100*time.Millisecond)
}

// sendUntilAnswered sends a request again until it has an outcome.
func (f *testCaller) sendUntilAnswered(number uint64, wait time.Duration) {
	c := f.waiting[number]
	if c == nil || f.reset {
		return
	}
	p := f.packet(packet.Request)
	p.Request = number
	p.Idempotent = f.idempotent
	p.Deadline = max(time.Millisecond, f.deadline-(f.sim.Now-c.sent))
	p.Payload = fmt.Appendf(nil, "%d/%d", f.flow, number)
	f.send(p)
	f.sim.After(wait, func() {
		f.sendUntilAnswered(number, min(2*wait, time.Second))
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
		f.receiveReset(p)
		return
	}

	if f.open && !p.Token.IsZero() {
		f.token = p.Token
	}
	c := f.waiting[p.Request]
	if c == nil {
		return
	}
	if p.Kind == packet.Answer && !f.addPart(c, p) {
		return
	}
	f.recordOutcome(p)
	f.sim.After(f.thinkTime, f.sendNext)
}

func (f *testCaller) receiveReset(p *packet.Packet) {
	if !p.Token.IsZero() && p.Token != f.token {
		return
	}
	if f.waiting[p.Request] != nil {
		f.recordOutcome(p)
	}
	f.reset = true
}

// addPart checks that a part belongs to the request and reports whether the
// answer is complete.
func (f *testCaller) addPart(c *pendingRequest, p *packet.Packet) bool {
	want := fmt.Sprintf("%d/%d/%d", f.flow, p.Request, p.Part)
	if string(p.Payload) != want {
		f.sim.t.Errorf("answer %q, want %q", p.Payload, want)
	}
	c.parts[p.Part] = true

	return len(c.parts) == int(p.Parts)
}

func (f *testCaller) recordOutcome(p *packet.Packet) {
	f.outcomes[p.Request] = outcome{
		kind:       p.Kind,
		status:     p.Status,
		retryAfter: p.RetryAfter,
		elapsed:    f.sim.Now - f.waiting[p.Request].sent,
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

// checkOutcomes fails the test if an outcome is wrong: a request that is not
// idempotent ran twice, one that was reported as not run did run, or one was
// answered without having run.
func (s *simulation) checkOutcomes(t *testing.T) {
	t.Helper()
	for k, n := range s.runs {
		if n > 1 && !s.callers[k.flow].idempotent {
			t.Errorf("flow %x request %d ran %d times", k.flow, k.number, n)
		}
	}
	for _, f := range s.callers {
		for n, o := range f.outcomes {
			runs := s.runs[passKey{
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

// countOutcomes returns how many requests of all callers ended with a status.
func (s *simulation) countOutcomes(status packet.Status) int {
	n := 0
	for _, f := range s.callers {
		n += f.count(status)
	}

	return n
}

func (s *simulation) countResets() int {
	n := 0
	for _, f := range s.callers {
		if f.reset {
			n++
		}
	}

	return n
}

// remaining returns how many requests were not sent or have no outcome because
// their flow was reset.
func (s *simulation) remaining() int {
	n := 0
	for _, f := range s.callers {
		if f.reset {
			n += f.remaining + len(f.waiting)
		}
	}

	return n
}
