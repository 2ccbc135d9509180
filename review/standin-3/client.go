package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// budget is the time that a client waits for an answer.
const budget = 3 * time.Second

// router forwards clients' packets to the entries in rotation, selected by a steady hash.
type router struct {
	conn    *net.UDPConn
	entries []netip.AddrPort
	ready   []atomic.Bool
	urls    []string
}

// watch asks each entry for its readiness twice a second. Two misses take it out of rotation.
func (r *router) watch(stop <-chan struct{}) {
	for i := range r.entries {
		go func() {
			c := http.Client{
				Timeout: 400 * time.Millisecond,
			}
			misses := 2
			for {
				a, err := c.Get(r.urls[i])
				if err == nil {
					a.Body.Close()
				}
				if err == nil && a.StatusCode == http.StatusOK {
					misses = 0
				} else {
					misses++
				}
				r.ready[i].Store(misses < 2)
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
			}
		}()
	}
}

func (r *router) forward(p *packet) {
	list := []netip.AddrPort{}
	for i, a := range r.entries {
		if r.ready[i].Load() {
			list = append(list, a)
		}
	}
	if 2*len(list) < len(r.entries) {
		list = r.entries
	}
	best, high := list[0], uint32(0)
	for _, a := range list {
		h := uint32(p.src.Port())*2654435761 ^ uint32(a.Addr().As4()[3])*40503
		h = (h ^ h>>15) * 2246822519
		if h ^= h >> 13; h >= high {
			best, high = a, h
		}
	}
	r.conn.WriteToUDPAddrPort(p.encode(), best)
}

// clients are the client attempts at one address. Each flow has a port of its own.
type clients struct {
	log    *record
	router *router
	addr   netip.Addr
	conn   *net.UDPConn
	port   atomic.Uint32

	mu     sync.Mutex
	inbox  map[uint16]chan packet
	served atomic.Int64
	failed atomic.Int64
	resets atomic.Int64
}

func newClients(l *record, r *router, at netip.AddrPort) (*clients, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &clients{
		log:    l,
		router: r,
		addr:   at.Addr(),
		conn:   conn,
		inbox:  map[uint16]chan packet{},
	}
	c.port.Store(20000)
	go c.receive()

	return c, nil
}

func (c *clients) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		box := c.inbox[p.dst.Port()]
		c.mu.Unlock()
		select {
		case box <- p:
		default:
		}
	}
}

// clientFlow is an open flow of a client.
type clientFlow struct {
	c   *clients
	src netip.AddrPort
	dst netip.AddrPort
	in  chan packet
	seq uint32
	ack uint32
}

// open opens a flow, with copies of the SYN after 200 and 600 ms.
func (c *clients) open(dst netip.AddrPort) (*clientFlow, bool) {
	port := uint16(c.port.Add(1))
	f := &clientFlow{
		c:   c,
		src: netip.AddrPortFrom(c.addr, port),
		dst: dst,
		in:  make(chan packet, 64),
		seq: rand.Uint32(),
	}
	c.mu.Lock()
	c.inbox[port] = f.in
	c.mu.Unlock()
	for i, wait := range []time.Duration{200, 400, 800} {
		f.send(flagSYN, uint32(i), nil)
		end := time.After(wait * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					f.close()

					return nil, false
				}
				if p.flags&flagSYN != 0 {
					f.seq++
					f.ack = p.seq + 1
					f.send(flagACK, f.ack, nil)

					return f, true
				}
			case <-end:
				waiting = false
			}
		}
	}
	f.close()

	return nil, false
}

func (f *clientFlow) close() {
	f.c.mu.Lock()
	delete(f.c.inbox, f.src.Port())
	f.c.mu.Unlock()
}

func (f *clientFlow) send(flags byte, ack uint32, data []byte) {
	f.c.router.forward(&packet{
		seq:   f.seq,
		ack:   ack,
		sum:   rand.Uint32() | 1,
		src:   f.src,
		dst:   f.dst,
		flags: flags,
		data:  data,
	})
}

// do sends a request and waits for its answer. It reports whether the flow can be used again.
func (f *clientFlow) do(id string) bool {
	f.c.log.add("client sends %q from %v", id, f.src)
	data := []byte(id)
	began := time.Now()
	wait := 200 * time.Millisecond
	for time.Since(began) < budget {
		f.send(flagACK, f.ack, data)
		end := time.After(min(wait, budget-time.Since(began)))
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				switch {
				case p.flags&flagRST != 0:
					f.c.resets.Add(1)
					f.c.log.add("client gets a reset for %q", id)

					return false
				case len(p.data) > 0 && p.seq == f.ack:
					if string(p.data) != "done "+id {
						f.c.log.add("client gets %q for %q", p.data, id)
					}
					f.seq += uint32(len(data))
					f.ack += uint32(len(p.data))
					f.send(flagACK, f.ack, nil)
					f.c.served.Add(1)
					f.c.log.add("client has the answer to %q", id)

					return true
				}
			case <-end:
				waiting = false
			}
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
	f.c.failed.Add(1)
	f.c.log.add("client gives up %q", id)

	return false
}

// run makes one request every pause until stop, on a long flow or on a flow for each request. A lost
// flow is replaced.
func (c *clients) run(n int, short bool, dst netip.AddrPort, pause time.Duration, stop <-chan struct{}) {
	f := (*clientFlow)(nil)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause - 50*time.Millisecond + rand.N(100*time.Millisecond)):
		}
		if f == nil {
			f, _ = c.open(dst)
		}
		if f == nil {
			continue
		}
		ok := f.do(fmt.Sprintf("r-%d-%d", n, i))
		if ok && short {
			f.send(flagACK|flagFIN, f.ack, nil)
		}
		if !ok || short {
			f.close()
			f = nil
		}
	}
}
