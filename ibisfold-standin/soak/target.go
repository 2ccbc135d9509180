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

// workTime is how long a target works on a request.
const workTime = 5 * time.Millisecond

// target stands in for the target beside an agent.
type target struct {
	world    *world
	vm       *vm
	service  string
	conn     *net.UDPConn
	outbound *net.UDPAddr

	mu    sync.Mutex
	flows map[segment.Key]*targetFlow
	// drained is when the target was reported as leaving; zero if it was not.
	drained time.Time
	// down holds back all reactions.
	down bool
	born int64
}

type targetFlow struct {
	seq  uint32
	open bool
}

func newTarget(w *world, v *vm, service string) (*target, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(v.settings.Target))
	if err != nil {
		return nil, err
	}
	t := &target{
		world:    w,
		vm:       v,
		service:  service,
		conn:     c,
		outbound: net.UDPAddrFromAddrPort(v.settings.Outbound),
		flows:    map[segment.Key]*targetFlow{},
		born:     time.Now().UnixMilli(),
	}
	// Targets answer health checks over TCP at the same address; an agent takes a
	// closed port for a target that has not started yet.
	l, err := net.Listen("tcp4", v.settings.Target.String())
	if err != nil {
		return nil, err
	}
	go accept(l)
	go t.run()

	return t, nil
}

// accept takes connections and closes them: the soak makes no health checks.
func accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.Close()
	}
}

func (t *target) run() {
	b := make([]byte, maxDatagram)
	for {
		n, err := t.conn.Read(b)
		if err != nil {
			return
		}
		s, err := platform.FromCaller(b[:n])
		if err != nil {
			t.world.breaks("target of %s got %v", t.vm.name, err)
			continue
		}
		t.take(&s, b[platform.PacketHeaderBytes:n])
	}
}

func (t *target) take(s *segment.Segment, data []byte) {
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

func (t *target) open(s *segment.Segment) {
	t.world.judgeOpen(t, s)
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

// answer repeats the request's bytes, so that its caller can tell whose they are.
func (t *target) answer(s *segment.Segment, data []byte) {
	answer := segment.Segment{
		Key:        s.Key,
		FromTarget: true,
		Flags:      segment.ACK,
		Seq:        s.Ack,
		Ack:        s.Seq + uint32(len(data)),
	}
	copied := append([]byte(nil), data...)
	time.AfterFunc(workTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if _, held := t.flows[s.Key]; held && !t.down {
			t.send(&answer, copied)
		}
	})
}

func (t *target) send(s *segment.Segment, data []byte) {
	// Nothing listens while the agent's process is away; the packet is lost then.
	_, _ = t.conn.WriteToUDP(platform.AppendPacket(nil, s, data), t.outbound)
}

// holds reports whether the target holds a flow whose SYN it answered with seq.
func (t *target) holds(k segment.Key, seq uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.flows[k]

	return ok && !t.down && f.seq == seq
}

// crash drops all flows and reactions until restart.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = true
	t.flows = map[segment.Key]*targetFlow{}
}

func (t *target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = false
	t.drained = time.Time{}
	t.born = time.Now().UnixMilli()
}

// requestBytes is the length of a request: its caller's number of it.
const requestBytes = 8

func requestData(n uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, n)
}
