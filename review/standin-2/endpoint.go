package main

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

// endpoint stands in for an application endpoint on a side machine.
type endpoint struct {
	bed     *bed
	id      string
	service string
	machine *machine
	slots   int
	// work is the time that a request takes.
	work time.Duration
	// coldRate is the number of requests a second that the endpoint bears while it is cold.
	coldRate float64

	mu        sync.Mutex
	conn      *net.UDPConn
	health    net.Listener
	outbound  *net.UDPAddr
	flows     map[segment.Key]*endpointFlow
	state     string
	born      int64
	seqNo     int
	coldUntil time.Time
	// nextFree is when the next slot is free, for each slot.
	nextFree []time.Time
	stop     chan struct{}
	alive    bool
	// opened holds the opening packets that the endpoint took.
	opened []opening
	runs   map[uint64]int
}

// opening is the opening packet of a flow that opened at an endpoint.
type opening struct {
	key     segment.Key
	arrived time.Time
	cold    bool
}

// endpointFlow is a flow that the endpoint holds.
type endpointFlow struct {
	seq     uint32
	next    uint32
	open    bool
	arrived time.Time
	cold    bool
	ran     map[uint32]bool
	answers map[uint32][]byte
}

// start makes the endpoint listen and then registers it in the store. With a cold time it is
// cold for so long.
func (e *endpoint) start(cold time.Duration) error {
	app := netip.AddrPortFrom(e.machine.ip, portApp)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", app.String())
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.conn = c
	e.health = l
	e.outbound = net.UDPAddrFromAddrPort(netip.AddrPortFrom(e.machine.ip, portOutbound))
	e.flows = map[segment.Key]*endpointFlow{}
	e.state = "ready"
	e.born = time.Now().UnixMilli()
	e.seqNo = 0
	e.coldUntil = time.Now().Add(cold)
	e.nextFree = make([]time.Time, max(1, e.slots))
	e.stop = make(chan struct{})
	e.alive = true
	if e.runs == nil {
		e.runs = map[uint64]int{}
	}
	stop := e.stop
	e.mu.Unlock()
	e.bed.rec.add("endpoint %s started, cold for %v", e.id, cold)
	go acceptHealth(l)
	go e.read(c)
	e.register()
	go e.beat(stop)

	return nil
}

// acceptHealth answers the liveness checks: status 200.
func acceptHealth(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(time.Second))
			b := make([]byte, 1024)
			if n, _ := c.Read(b); n > 0 {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
			}
		}()
	}
}

// register writes the entry of the endpoint in the store.
func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	v, err := json.Marshal(map[string]any{
		"Service":    e.service,
		"Address":    netip.AddrPortFrom(e.machine.ip, portApp).String(),
		"Zone":       zone,
		"Version":    "1.0",
		"Slots":      e.slots,
		"State":      e.state,
		"ColdLeftMs": max(0, time.Until(e.coldUntil).Milliseconds()),
		"SeqNo":      e.seqNo,
		"born":       e.born,
	})
	if err != nil {
		panic(err)
	}
	e.bed.store.SetEntry(e.id, v)
	e.bed.rec.add("store: servers/%s written: %s", e.id, v)
}

// beat checks in with the store. An entry in which only SeqNo changes stays as it is.
func (e *endpoint) beat(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
		e.mu.Lock()
		e.seqNo++
		changed := time.Since(e.coldUntil) < heartbeat
		e.mu.Unlock()
		if changed {
			e.register()
		}
	}
}

// crash closes the endpoint's sockets and drops all that it held.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alive = false
	close(e.stop)
	e.conn.Close()
	e.health.Close()
	e.flows = map[segment.Key]*endpointFlow{}
	e.bed.rec.add("endpoint %s crashed", e.id)
}

// drain reports that the endpoint drains. It closes each flow after its next answer.
func (e *endpoint) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.register()
}

// leave ends a drained endpoint and removes its entry.
func (e *endpoint) leave() {
	e.crash()
	e.bed.store.RemoveTarget(e.id)
	e.bed.rec.add("store: servers/%s removed", e.id)
}

func (e *endpoint) read(c *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		s, err := platform.FromCaller(b[:n])
		if err != nil {
			e.bed.rec.add("endpoint %s got a packet that can't be read: %v", e.id, err)
			continue
		}
		e.handle(&s, b[:n])
	}
}

func (e *endpoint) handle(s *segment.Segment, raw []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return
	}
	f, ok := e.flows[s.Key]
	switch {
	case s.Opens():
		e.handleSYN(s, f)
	case !ok, !f.open && s.Ack != f.seq+1:
		e.bounce(raw)
		e.bed.rec.add("endpoint %s bounced a packet of %v", e.id, s.Key)
	case s.Flags.Has(segment.RST):
		delete(e.flows, s.Key)
	case s.Flags.Has(segment.FIN):
		delete(e.flows, s.Key)
		e.send(s.Key, segment.FIN|segment.ACK, f.next, s.Seq+1, nil)
	default:
		if !f.open {
			f.open = true
			e.opened = append(e.opened, opening{
				key:     s.Key,
				arrived: f.arrived,
				cold:    f.cold,
			})
			e.bed.rec.add("endpoint %s: flow %v opened, SYN arrived %.1f ms ago, cold %v", e.id, s.Key, float64(time.Since(f.arrived).Microseconds())/1000, f.cold)
		}
		if s.Len >= requestBytes {
			e.handleRequest(s, f, raw[platform.PacketHeaderBytes:])
		}
	}
}

func (e *endpoint) handleSYN(s *segment.Segment, f *endpointFlow) {
	if f == nil {
		f = &endpointFlow{
			seq:     rand.Uint32(),
			arrived: time.Now(),
			cold:    time.Now().Before(e.coldUntil),
			ran:     map[uint32]bool{},
			answers: map[uint32][]byte{},
		}
		f.next = f.seq + 1
		e.flows[s.Key] = f
	}
	e.send(s.Key, segment.SYN|segment.ACK, f.seq, s.Seq+1, nil)
}

// requestBytes is the length of a request.
const requestBytes = 8

// handleRequest runs a request once and repeats its answer for each copy.
func (e *endpoint) handleRequest(s *segment.Segment, f *endpointFlow, data []byte) {
	if a, ok := f.answers[s.Seq]; ok {
		e.sendRaw(a)

		return
	}
	if f.ran[s.Seq] {
		return
	}
	f.ran[s.Seq] = true
	id := binary.LittleEndian.Uint64(data)
	e.runs[id]++
	e.bed.rec.add("endpoint %s runs request %d of %v", e.id, id, s.Key)
	key, seq, end := s.Key, s.Seq, s.Seq+uint32(s.Len)
	body := append(append([]byte{}, data...), "sealed"...)
	stop := e.stop
	time.AfterFunc(time.Until(e.schedule()), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		select {
		case <-stop:
			return
		default:
		}
		if e.flows[key] != f {
			return
		}
		flags := segment.ACK
		if e.state == "draining" {
			flags |= segment.FIN
		}
		a := platform.AppendPacket(nil, &segment.Segment{
			Key:        key,
			FromTarget: true,
			Flags:      flags,
			Seq:        f.next,
			Ack:        end,
			Len:        len(body),
		}, body)
		f.next += uint32(len(body))
		f.answers[seq] = a
		e.bed.rec.add("endpoint %s answers request %d", e.id, id)
		e.sendRaw(a)
	})
}

// schedule takes the first free slot and returns when its request is done. While the endpoint
// is cold it bears coldRate requests a second.
func (e *endpoint) schedule() time.Time {
	first := 0
	slots := len(e.nextFree)
	work := e.work
	if time.Now().Before(e.coldUntil) && e.coldRate > 0 {
		slots = 1
		work = time.Duration(float64(time.Second) / e.coldRate)
	}
	for i := range slots {
		if e.nextFree[i].Before(e.nextFree[first]) {
			first = i
		}
	}
	at := e.nextFree[first]
	if at.Before(time.Now()) {
		at = time.Now()
	}
	e.nextFree[first] = at.Add(work)

	return e.nextFree[first]
}

// holds reports whether the endpoint holds an open flow.
func (e *endpoint) holds(k segment.Key) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.flows[k]

	return ok && e.alive && f.open
}

// The bounced packet keeps its bytes but for the flag BOUNCED and pad.
const (
	offsetFlags = 30
	offsetPad   = 31
	bitBounced  = 64
)

func (e *endpoint) bounce(raw []byte) {
	b := append([]byte{}, raw...)
	b[offsetFlags] |= bitBounced
	b[offsetPad] = 0
	e.sendRaw(b)
}

func (e *endpoint) send(k segment.Key, f segment.Flags, seq, ack uint32, data []byte) {
	e.sendRaw(platform.AppendPacket(nil, &segment.Segment{
		Key:        k,
		FromTarget: true,
		Flags:      f,
		Seq:        seq,
		Ack:        ack,
	}, data))
}

func (e *endpoint) sendRaw(b []byte) {
	_, _ = e.conn.WriteToUDP(b, e.outbound)
}
