package proof_test

import (
	"fmt"
	"net/netip"
	"time"

	"ibisfold.example/core/conntrack"
	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

// opaqueTarget is a model of a target: it runs requests in slots and bounces
// packets of flows that it does not hold.
type opaqueTarget struct {
	service string
	// starts counts the targets that the VM had before this one, each with an ID of its own.
	starts   int
	slots    int
	workTime time.Duration
	draining bool
	// born is when the target started, in Unix milliseconds; zero is unknown.
	born int64
	// gone means that the target has left; silent that its process has ended and nothing
	// tells the agent so; refusing that its packets are refused.
	gone     bool
	silent   bool
	refusing bool
	// stalledUntil is until when the target stands still; it then takes what has come.
	stalledUntil time.Duration
	// resetting means that the target accepts flows and resets them at the next request.
	resetting bool
	// answerDelay is the delay of answers to SYNs.
	answerDelay time.Duration
	// flows maps the flows that the target holds to the sequence number of the answer
	// to their SYN. open holds those whose caller has acknowledged that answer.
	flows map[segment.Key]uint32
	open  map[segment.Key]bool
	// lastRequest is the sequence number of the last request of each flow; running
	// tells which of these requests have no answer yet.
	lastRequest map[segment.Key]uint32
	running     map[segment.Key]bool
	// misses counts packets of flows that the target does not hold.
	misses map[segment.Key]int
	// busyUntil is when each slot is free.
	busyUntil []time.Duration
	// runs counts the requests that were started, served those that were answered.
	runs   int
	served int
}

// restart replaces the target's process by a new one that holds no flow.
func (t *opaqueTarget) restart() {
	t.flows = map[segment.Key]uint32{}
	t.open = nil
	t.lastRequest = nil
	t.running = nil
	t.busyUntil = nil
	t.silent = false
	t.refusing = false
}

// recordRequest remembers the request of a flow, to recognize copies of it.
func (t *opaqueTarget) recordRequest(s segment.Segment) {
	if t.lastRequest == nil {
		t.lastRequest = map[segment.Key]uint32{}
		t.running = map[segment.Key]bool{}
	}
	t.lastRequest[s.Key] = s.Seq
	t.running[s.Key] = true
}

func (t *opaqueTarget) reacts() bool {
	return !t.gone && !t.silent && !t.refusing
}

// targetReceive passes a caller's packet to the target beside an agent.
func (w *opaqueWorld) targetReceive(a *opaqueAgent, b []byte) {
	t := &a.target
	if w.Now < t.stalledUntil {
		w.After(t.stalledUntil-w.Now, func() {
			w.targetReceive(a, b)
		})

		return
	}
	if t.refusing && !a.down {
		w.agentUpdate(a, conntrack.TargetRefused{})
	}
	s := w.decode(b)
	w.recordArrival(a, &s)
	if !t.reacts() {
		return
	}
	if s.Opens() {
		w.checkService(a, &s)
		seq, ok := t.flows[s.Key]
		if !ok {
			seq = w.random.Uint32()
			t.flows[s.Key] = seq
		}
		w.After(t.answerDelay, func() {
			w.fromTarget(a, &segment.Segment{
				Key:        s.Key,
				FromTarget: true,
				Flags:      segment.SYN | segment.ACK,
				Seq:        seq,
				Ack:        s.Seq + 1,
			}, nil)
		})

		return
	}
	seq, ok := t.flows[s.Key]
	if !ok || !t.open[s.Key] && s.Ack != seq+1 {
		w.bounce(a, b, s.Key)

		return
	}
	if t.open == nil {
		t.open = map[segment.Key]bool{}
	}
	t.open[s.Key] = true
	switch {
	case s.Len > 0 && t.resetting:
		delete(t.flows, s.Key)
		w.fromTarget(a, &segment.Segment{
			Key:        s.Key,
			FromTarget: true,
			Flags:      segment.RST,
			Seq:        s.Ack,
		}, nil)
	case s.Len > 0 && w.dedupe && t.lastRequest[s.Key] == s.Seq:
		// A copy of the last request. If that still runs, its answer follows later.
		if !t.running[s.Key] {
			w.answer(a, s)
		}
	case s.Len > 0:
		t.recordRequest(s)
		w.serve(a, s)
	}
}

func (w *opaqueWorld) bounce(a *opaqueAgent, b []byte, k segment.Key) {
	if a.target.misses == nil {
		a.target.misses = map[segment.Key]int{}
	}
	a.target.misses[k]++
	s := w.decode(b)
	s.Flags |= segment.Bounced
	w.fromTarget(a, &s, b[platform.PacketHeaderBytes:])
}

// serve runs a request in the slot that becomes free first.
func (w *opaqueWorld) serve(a *opaqueAgent, s segment.Segment) {
	t := &a.target
	for len(t.busyUntil) < t.slots {
		t.busyUntil = append(t.busyUntil, 0)
	}
	slot := 0
	for i, at := range t.busyUntil {
		if at < t.busyUntil[slot] {
			slot = i
		}
	}
	t.runs++
	t.busyUntil[slot] = max(t.busyUntil[slot], w.Now) + t.workTime
	w.After(t.busyUntil[slot]-w.Now, func() {
		if _, held := t.flows[s.Key]; !held || !t.reacts() {
			return
		}
		t.served++
		delete(t.running, s.Key)
		w.answer(a, s)
	})
}

func (w *opaqueWorld) answer(a *opaqueAgent, s segment.Segment) {
	w.fromTarget(a, &segment.Segment{
		Key:        s.Key,
		FromTarget: true,
		Flags:      segment.ACK,
		Seq:        s.Ack,
		Ack:        s.Seq + uint32(s.Len),
	}, make([]byte, opaqueRequestBytes))
}

func (w *opaqueWorld) fromTarget(a *opaqueAgent, s *segment.Segment, data []byte) {
	if a.down || !a.target.reacts() || a.pause.deferTargetPacket(func() { w.fromTarget(a, s, data) }) {
		return
	}
	b := platform.AppendPacket(nil, s, data)
	x, err := platform.FromTarget(b)
	if err != nil {
		w.t.Fatal(err)
	}
	w.agentUpdate(a, &conntrack.TargetPacket{
		Segment: x,
		Packet:  b,
	})
}

// opaqueCaller is a model of a caller: it sends requests one after the other over a
// flow, and opens another flow when that one ends.
type opaqueCaller struct {
	zone string
	key  segment.Key
	// pause is the time from an answer to the next request.
	pause time.Duration
	// flowPerRequest means that the caller opens a flow for each request.
	flowPerRequest bool
	// persistent means that the caller keeps its flow while a request waits: see
	// addPersistentCallers. If steadyRetries is set too, the time between copies is
	// not doubled.
	persistent    bool
	steadyRetries bool
	// synAnswerSeq is the sequence number of the answer to the SYN that the caller
	// accepted.
	synAnswerSeq uint32
	open         bool
	seq          uint32
	ack          uint32
	waiting      bool
	// copies counts the copies of the packet that waits for an answer, number the
	// packets.
	copies int
	number int
	// requestStart is when the request was first sent, lastCopy when it was last sent.
	requestStart time.Duration
	lastCopy     time.Duration
	// slowestAnswer is the longest time that an answer took, resets the number of flows
	// that were reset, timeouts the number of requests without an answer in time.
	slowestAnswer time.Duration
	answers       int
	resets        int
	timeouts      int
}

// opaqueRequestTimeout is how long a caller waits for the answer to a request.
const opaqueRequestTimeout = 500 * time.Millisecond

func (w *opaqueWorld) addCaller(zone string, pause time.Duration) *opaqueCaller {
	c := &opaqueCaller{
		zone:  zone,
		pause: pause,
	}
	c.requestStart = w.Now
	w.openFlow(c)

	return c
}

func (w *opaqueWorld) addCallers(n int, pause time.Duration) []*opaqueCaller {
	list := []*opaqueCaller{}
	for i := range n {
		list = append(list, w.addCaller([]string{"a", "b", "c"}[i%3], pause))
	}

	return list
}

func (w *opaqueWorld) openFlow(c *opaqueCaller) {
	delete(w.callers, c.key)
	w.ports++
	caller := fmt.Sprintf("100.64.0.%d:%d", 1+w.ports/60000, 1+w.ports%60000)
	c.key = segment.KeyOf(netip.MustParseAddrPort(caller), opaqueAddress)
	c.open = false
	c.waiting = true
	c.copies = 0
	c.number++
	c.seq = 100
	c.ack = 0
	w.callers[c.key] = c
	w.sendSYN(c, c.number)
}

// opaqueSYNRetryTimes are the times from each copy of a SYN to the next, and from the last
// one to the timeout.
var opaqueSYNRetryTimes = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

func (w *opaqueWorld) sendSYN(c *opaqueCaller, number int) {
	if c.open || c.number != number {
		return
	}
	if c.copies == len(opaqueSYNRetryTimes) {
		c.timeouts++
		c.requestStart = w.Now
		w.openFlow(c)

		return
	}
	w.toRouters(c.zone, c.key, platform.AppendPacket(nil, &segment.Segment{
		Key:   c.key,
		Flags: segment.SYN,
		Seq:   c.seq - 1,
		Ack:   uint32(c.copies),
	}, nil))
	d := opaqueSYNRetryTimes[c.copies]
	c.copies++
	w.After(d, func() {
		w.sendSYN(c, number)
	})
}

func (w *opaqueWorld) request(c *opaqueCaller) {
	c.number++
	c.copies = 0
	c.waiting = true
	w.sendRequest(c, c.number)
}

func (w *opaqueWorld) sendRequest(c *opaqueCaller, number int) {
	if !c.waiting || c.number != number {
		return
	}
	if w.Now-c.requestStart >= c.timeout() {
		c.timeouts++
		c.requestStart = w.Now
		w.openFlow(c)

		return
	}
	c.lastCopy = w.Now
	w.recordRequest(c.key)
	w.toRouters(c.zone, c.key, platform.AppendPacket(nil, &segment.Segment{
		Key:   c.key,
		Flags: segment.ACK,
		Seq:   c.seq,
		Ack:   c.ack,
	}, make([]byte, opaqueRequestBytes)))
	c.copies++
	w.After(c.retryTime(), func() {
		w.sendRequest(c, number)
	})
}

// toCaller delivers a packet to the caller of the flow, unless the caller has opened
// another flow.
func (w *opaqueWorld) toCaller(zone string, k segment.Key, b []byte) {
	c, ok := w.callers[k]
	if !ok {
		return
	}
	w.After(w.delay(zone, c.zone)+time.Millisecond, func() {
		if c.key != k {
			return
		}
		s, err := platform.FromTarget(b)
		if err != nil {
			w.t.Fatal(err)
		}
		w.callerReceive(c, &s)
	})
}

func (w *opaqueWorld) callerReceive(c *opaqueCaller, s *segment.Segment) {
	switch {
	case s.Flags.Has(segment.RST):
		w.callerReset(c)
	case s.Flags.Has(segment.SYN):
		if c.open {
			return
		}
		c.open = true
		c.synAnswerSeq = s.Seq
		c.ack = s.Seq + 1
		w.request(c)
	case s.Len > 0 && c.waiting && c.open:
		w.answered(c, s)
	}
}

func (w *opaqueWorld) answered(c *opaqueCaller, s *segment.Segment) {
	c.waiting = false
	c.answers++
	c.slowestAnswer = max(c.slowestAnswer, w.Now-c.requestStart)
	c.ack = s.Seq + uint32(s.Len)
	c.seq += opaqueRequestBytes
	number := c.number
	w.After(c.pause, func() {
		if c.number != number {
			return
		}
		c.requestStart = w.Now
		if c.flowPerRequest {
			w.openFlow(c)
		} else {
			w.request(c)
		}
	})
}

// callerReset checks that a flow was not reset while a healthy target holds it, and
// opens another flow.
func (w *opaqueWorld) callerReset(c *opaqueCaller) {
	if a := w.holder(c); a != nil && w.healthy(a) {
		w.violate("flow %v was reset, though the target at %v holds it", c.key, a.addr)
	}
	c.resets++
	if c.open {
		w.slowestReset = max(w.slowestReset, w.Now-c.lastCopy)
	}
	w.openFlow(c)
}

// holder returns the VM whose target holds the caller's open flow.
func (w *opaqueWorld) holder(c *opaqueCaller) *opaqueAgent {
	if !c.open {
		return nil
	}
	for _, a := range w.agents {
		if seq, ok := a.target.flows[c.key]; ok && seq == c.synAnswerSeq {
			return a
		}
	}

	return nil
}
