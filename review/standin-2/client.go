package main

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

// router stands in for the platform's routers: each flow has a ready frontend machine.
type router struct {
	// mod means that the machine is selected by the remainder of the hash, so that nearly all
	// flows move when a machine joins or leaves the rotation.
	mod bool

	mu       sync.Mutex
	rotation []*machine
}

// poll makes the readiness calls twice a second. After two misses a machine is out of rotation.
func (r *router) poll(ctx context.Context, entries []*machine) {
	c := &http.Client{
		Timeout: 300 * time.Millisecond,
	}
	for ctx.Err() == nil {
		began := time.Now()
		wg := sync.WaitGroup{}
		for _, m := range entries {
			wg.Go(func() {
				if m.ready(c) {
					m.readyMisses = 0
				} else {
					m.readyMisses++
				}
			})
		}
		wg.Wait()
		r.mu.Lock()
		before := len(r.rotation)
		known := map[*machine]bool{}
		for _, m := range r.rotation {
			known[m] = true
		}
		r.rotation = nil
		for _, m := range entries {
			if m.readyMisses == 0 || m.readyMisses < 2 && known[m] {
				r.rotation = append(r.rotation, m)
			}
		}
		if len(r.rotation) != before {
			entries[0].bed.rec.add("router: %d machines in rotation", len(r.rotation))
		}
		r.mu.Unlock()
		time.Sleep(time.Until(began.Add(500 * time.Millisecond)))
	}
}

func (r *router) full(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.rotation) == n
}

// pick returns the machine of a flow by rendezvous hashing.
func (r *router) pick(k segment.Key) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mod && len(r.rotation) > 0 {
		return r.rotation[(k.Hash()>>8)%uint64(len(r.rotation))]
	}
	best, top := (*machine)(nil), uint64(0)
	for _, m := range r.rotation {
		h := fnv.New64a()
		_, _ = h.Write([]byte(k.String() + m.name))
		if x := segment.Mix(h.Sum64()); best == nil || x > top {
			best, top = m, x
		}
	}

	return best
}

// client stands in for a client with one flow at a time.
type client struct {
	bed   *bed
	ip    netip.Addr
	route netip.AddrPort
	// pause is the time between an answer and the next request, fresh that each request has
	// its own flow.
	pause time.Duration
	fresh bool
	// idempotent means that the client's requests may be repeated.
	idempotent bool
	budget     time.Duration

	conn *net.UDPConn
	port uint16

	mu   sync.Mutex
	flow *clientFlow
	// sent holds when the client sent the first SYN of each flow.
	sent map[segment.Key]time.Time
	// counts are those of the client's own.
	counts counts
}

// counts counts what clients saw: attempts are flows that did not open and requests.
type counts struct {
	attempts int
	answered int
	lost     int
}

// count returns the counts of all clients.
func (b *bed) count() counts {
	total := counts{}
	for _, c := range b.clients {
		c.mu.Lock()
		total.attempts += c.counts.attempts
		total.answered += c.counts.answered
		total.lost += c.counts.lost
		c.mu.Unlock()
	}

	return total
}

// summarize records the counts of all clients, and the requests that ran more than once.
func (b *bed) summarize() {
	n := b.count()
	b.rec.add("clients: %d attempts, %d answered, %d requests not answered", n.attempts, n.answered, n.lost)
	for _, e := range b.endpoints {
		e.mu.Lock()
		for id, runs := range e.runs {
			if runs > 1 {
				b.rec.add("endpoint %s ran request %d %d times", e.id, id, runs)
			}
		}
		e.mu.Unlock()
	}
}

// addCounts adds to the counts of the client.
func (c *client) addCounts(x counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.attempts += x.attempts
	c.counts.answered += x.answered
	c.counts.lost += x.lost
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	key   segment.Key
	seq   uint32
	ack   uint32
	open  bool
	reset bool
	segs  chan segment.Segment
}

// requestIDs numbers the requests of all clients.
var requestIDs atomic.Uint64

func (b *bed) addClient(route netip.AddrPort) (*client, error) {
	n := len(b.clients)
	c := &client{
		bed:    b,
		ip:     b.address(netClient+byte(n/200), byte(n%200+1), 0).Addr(),
		route:  route,
		port:   20000,
		budget: 1500 * time.Millisecond,
		sent:   map[segment.Key]time.Time{},
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, portData)))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	b.stops = append(b.stops, func() {
		conn.Close()
	})
	b.clients = append(b.clients, c)
	go c.read()

	return c, nil
}

// read passes packets of the current flow on. A reset counts if its position is that of an
// open flow, or if the flow is not open.
func (c *client) read() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		s, err := platform.FromTarget(b[:n])
		if err != nil {
			c.bed.rec.add("client %v got a packet that can't be read", c.ip)
			continue
		}
		c.mu.Lock()
		f := c.flow
		if f == nil || f.key != s.Key {
			c.mu.Unlock()
			continue
		}
		if s.Flags.Has(segment.RST) {
			d := int32(s.Seq - f.ack)
			if f.open && (d > 76800 || d < -76800) {
				c.mu.Unlock()
				continue
			}
			if !f.reset {
				f.reset = true
				c.bed.rec.add("client: flow %v was reset, open %v", f.key, f.open)
				if f.open {
					c.bed.checkReset(f.key)
				}
			}
		}
		c.mu.Unlock()
		select {
		case f.segs <- s:
		default:
		}
	}
}

// checkReset records a reset of an open flow whose endpoint lives and holds it.
func (b *bed) checkReset(k segment.Key) {
	b.mu.Lock()
	judged := b.judged
	b.mu.Unlock()
	if !judged {
		return
	}
	for _, e := range b.endpoints {
		if e.holds(k) {
			b.fail("FLOW: the client of flow %v got a reset though its endpoint %s lives and holds the flow", k, e.id)
		}
	}
}

// Clients try a request again after retryPause, at most maxRetries times: an idempotent one after
// any failure, others only if the flow did not open.
const (
	maxRetries = 2
	retryPause = 150 * time.Millisecond
)

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		for try := 0; try <= maxRetries && ctx.Err() == nil; try++ {
			if try > 0 {
				sleep(ctx, retryPause)
			}
			if c.needsFlow() && !c.open(ctx) {
				c.addCounts(counts{
					attempts: 1,
				})
				continue
			}
			ok := c.request(ctx)
			if !ok || c.fresh {
				c.closeFlow()
			}
			if ok || !c.idempotent {
				break
			}
		}
		sleep(ctx, c.pause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *client) closeFlow() {
	f := c.flow
	if f == nil {
		return
	}
	if f.open && !f.reset {
		c.transmit(f, segment.FIN|segment.ACK, f.seq, f.ack, nil)
	}
	c.mu.Lock()
	c.flow = nil
	c.mu.Unlock()
}

// synTimes are the times of a SYN and its copies; after synLimit the attempt ends.
var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const synLimit = 1400 * time.Millisecond

// open opens a flow and reports whether an endpoint answered.
func (c *client) open(ctx context.Context) bool {
	c.port++
	f := &clientFlow{
		key:  segment.KeyOf(netip.AddrPortFrom(c.ip, c.port), c.route),
		seq:  1000,
		segs: make(chan segment.Segment, 64),
	}
	began := time.Now()
	c.mu.Lock()
	c.flow = f
	c.sent[f.key] = began
	c.mu.Unlock()
	for i := range synTimes {
		c.transmit(f, segment.SYN, f.seq-1, uint32(i), nil)
		until := synLimit
		if i+1 < len(synTimes) {
			until = synTimes[i+1]
		}

		s, ok := c.await(ctx, f, began.Add(until), func(s *segment.Segment) bool {
			return s.Flags.Has(segment.SYN|segment.ACK) || s.Flags.Has(segment.RST)
		})
		if !ok {
			continue
		}
		if s.Flags.Has(segment.RST) {
			return false
		}
		c.mu.Lock()
		f.open = true
		f.ack = s.Seq + 1
		c.mu.Unlock()
		c.transmit(f, segment.ACK, f.seq, f.ack, nil)

		return true
	}

	return false
}

// request sends a request and reports whether it was answered within the time budget.
func (c *client) request(ctx context.Context) bool {
	f := c.flow
	id := requestIDs.Add(1)
	data := binary.LittleEndian.AppendUint64(nil, id)
	end := time.Now().Add(c.budget)
	c.bed.rec.add("client sends request %d on %v", id, f.key)
	c.addCounts(counts{
		attempts: 1,
	})
	for wait := 200 * time.Millisecond; time.Now().Before(end) && ctx.Err() == nil; wait = min(2*wait, 1600*time.Millisecond) {
		c.transmit(f, segment.ACK, f.seq, f.ack, data)
		until := time.Now().Add(wait)
		if until.After(end) {
			until = end
		}
		s, ok := c.await(ctx, f, until, func(s *segment.Segment) bool {
			return s.Flags.Has(segment.RST) || s.Len > 0 && s.Ack == f.seq+uint32(len(data))
		})
		if !ok {
			continue
		}
		if s.Flags.Has(segment.RST) {
			c.addCounts(counts{
				lost: 1,
			})
			c.bed.rec.add("client: request %d ended by a reset", id)

			return false
		}
		c.mu.Lock()
		f.seq += uint32(len(data))
		f.ack = s.Seq + uint32(s.Len)
		c.mu.Unlock()
		c.transmit(f, segment.ACK, f.seq, f.ack, nil)
		c.addCounts(counts{
			answered: 1,
		})
		c.bed.rec.add("client: request %d answered", id)
		if s.Flags.Has(segment.FIN) {
			c.closeFlow()
		}

		return true
	}
	c.addCounts(counts{
		lost: 1,
	})
	c.bed.rec.add("client: request %d not answered within %v", id, c.budget)

	return false
}

func (c *client) await(ctx context.Context, f *clientFlow, until time.Time, wanted func(*segment.Segment) bool) (segment.Segment, bool) {
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	for {
		select {
		case s := <-f.segs:
			if wanted(&s) {
				return s, true
			}
		case <-timeout.C:
			return segment.Segment{}, false
		case <-ctx.Done():
			return segment.Segment{}, false
		}
	}
}

// transmit sends a packet through the machine that the routers choose.
func (c *client) transmit(f *clientFlow, flags segment.Flags, seq, ack uint32, data []byte) {
	m := c.bed.router.pick(f.key)
	if m == nil {
		return
	}
	b := platform.AppendPacket(nil, &segment.Segment{
		Key:   f.key,
		Flags: flags,
		Seq:   seq,
		Ack:   ack,
	}, data)
	_, _ = c.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(m.ip, portData))
}

// needsFlow reports whether the next request needs a new flow.
func (c *client) needsFlow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.fresh || c.flow == nil || c.flow.reset
}
