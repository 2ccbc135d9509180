package soak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

// serviceTime is the time between a request and its answer.
const serviceTime = 5 * time.Millisecond

// target simulates the target beside an agent.
type target struct {
	testbed  *testbed
	vm       *vm
	conn     *net.UDPConn
	outbound *net.UDPAddr

	mu      sync.Mutex
	service string
	// id is the key of the target's entry in the store.
	id    string
	flows map[segment.Key]*targetFlow
	// drainingSince is when the target was registered as draining; zero if it was not.
	drainingSince time.Time
	// down makes the target ignore all packets.
	down bool
	// born is the last start, in Unix milliseconds.
	born int64
}

// targetFlow is a flow that the target holds.
type targetFlow struct {
	// seq is the sequence number of the target's SYN.
	seq uint32
	// open is set once the caller has acknowledged the SYN.
	open bool
}

func newTarget(b *testbed, v *vm, service string) (*target, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(v.settings.Target))
	if err != nil {
		return nil, err
	}
	t := &target{
		testbed:  b,
		vm:       v,
		service:  service,
		id:       v.name,
		conn:     c,
		outbound: net.UDPAddrFromAddrPort(v.settings.Outbound),
		flows:    map[segment.Key]*targetFlow{},
		born:     v.clock(),
	}
	// Targets answer health checks over TCP at the same address. An agent takes a closed
	// port to mean that the target has not started yet.
	l, err := net.Listen("tcp4", v.settings.Target.String())
	if err != nil {
		return nil, err
	}
	go accept(l)
	go t.run()

	return t, nil
}

// accept accepts TCP connections and closes them. It makes the port look open to the agent;
// the soak makes no health checks.
func accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.Close()
	}
}

// run handles the packets that the agent delivers.
func (t *target) run() {
	b := make([]byte, maxDatagram)
	for {
		n, err := t.conn.Read(b)
		if err != nil {
			return
		}
		s, err := platform.FromCaller(b[:n])
		if err != nil {
			t.testbed.addViolation("target of %s got %v", t.vm.name, err)
			continue
		}
		t.handle(&s, b[platform.PacketHeaderBytes:n])
	}
}

// handle reacts to a packet. It sends a packet back with the flag Bounced if the target does
// not hold its flow, or if the packet should complete the handshake and acknowledges another
// SYN than the target's own.
func (t *target) handle(s *segment.Segment, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	f, ok := t.flows[s.Key]
	switch {
	case s.Opens():
		t.open(s)
	case !ok || !f.open && s.Ack != f.seq+1:
		bounced := *s
		bounced.Flags |= segment.Bounced
		t.send(&bounced, data)
	default:
		f.open = true
		if len(data) > 0 {
			t.answer(s, data)
		}
	}
}

// open answers a SYN. A retransmitted SYN gets the same sequence number again.
func (t *target) open(s *segment.Segment) {
	t.testbed.checkOpen(t, s)
	f, ok := t.flows[s.Key]
	if !ok {
		f = &targetFlow{
			seq: rand.Uint32(),
		}
		t.flows[s.Key] = f
	}
	t.send(&segment.Segment{
		Key:        s.Key,
		FromTarget: true,
		Flags:      segment.SYN | segment.ACK,
		Seq:        f.seq,
		Ack:        s.Seq + 1,
	}, nil)
}

// answer echoes the request's bytes after serviceTime, so that the caller can tell whether
// the answer belongs to its request.
func (t *target) answer(s *segment.Segment, data []byte) {
	answer := segment.Segment{
		Key:        s.Key,
		FromTarget: true,
		Flags:      segment.ACK,
		Seq:        s.Ack,
		Ack:        s.Seq + uint32(len(data)),
	}
	if !t.drainingSince.IsZero() {
		// A target that drains closes each flow after its next answer.
		answer.Flags |= segment.FIN
	}
	copied := append([]byte(nil), data...)
	time.AfterFunc(serviceTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if _, held := t.flows[s.Key]; held && !t.down {
			t.send(&answer, copied)
		}
	})
}

func (t *target) send(s *segment.Segment, data []byte) {
	// Nothing listens while the agent's process is down; the packet is lost then.
	_, _ = t.conn.WriteToUDP(platform.AppendPacket(nil, s, data), t.outbound)
}

// holds reports whether the target holds a flow whose SYN it answered with seq.
func (t *target) holds(k segment.Key, seq uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.flows[k]

	return ok && !t.down && f.seq == seq
}

// crash drops all flows and ignores all packets until restart.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = true
	t.flows = map[segment.Key]*targetFlow{}
}

// restart ends a crash or the draining of the target.
func (t *target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = false
	t.drainingSince = time.Time{}
	t.born = t.vm.clock()
}

// requestBytes is the length of a request. It holds only the request number of its caller.
const requestBytes = 8

func requestData(n uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, n)
}
