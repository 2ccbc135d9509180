package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault describes how a proxy impairs the datagrams that it forwards.
type linkFault struct {
	// DropIn drops datagrams to the process, DropOut those that it sends.
	DropIn  bool
	DropOut bool
	// Loss is the probability that a datagram is dropped.
	Loss float64
	// Delay is added to each datagram.
	Delay time.Duration
}

// datagramProxies holds the proxies of all agents, by the addresses of the agents.
type datagramProxies struct {
	sync.Map
}

// find returns the proxy in front of an agent.
func (p *datagramProxies) find(agent netip.AddrPort) (*datagramProxy, bool) {
	x, ok := p.Load(agent)
	if !ok {
		return nil, false
	}

	return x.(*datagramProxy), true
}

// datagramProxy forwards datagrams between one agent and the entries and agents that send to it.
type datagramProxy struct {
	listen *net.UDPConn
	to     netip.AddrPort
	others *datagramProxies
	fault  atomic.Pointer[linkFault]

	mu sync.Mutex
	// sockets holds, for each entry, the socket from which its datagrams are sent to the agent.
	sockets map[netip.AddrPort]*net.UDPConn
}

func newDatagramProxy(listen, to netip.AddrPort, others *datagramProxies) (*datagramProxy, error) {
	l, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, err
	}
	p := &datagramProxy{
		listen:  l,
		to:      to,
		others:  others,
		sockets: map[netip.AddrPort]*net.UDPConn{},
	}
	p.fault.Store(&linkFault{})
	others.Store(to, p)
	go p.run()

	return p, nil
}

// maxDatagram is the size of receive buffers, in bytes.
const maxDatagram = 9000

// run forwards datagrams of entries to the agent.
func (p *datagramProxy) run() {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := p.listen.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		socket, err := p.socket(from)
		f := p.fault.Load()
		if err != nil || f.DropIn || rand.Float64() < f.Loss {
			continue
		}
		f.deliver(b[:n], func(b []byte) {
			_, _ = socket.WriteToUDPAddrPort(b, p.to)
		})
	}
}

// socket returns the socket from which the datagrams of an entry are sent to the agent.
func (p *datagramProxy) socket(from netip.AddrPort) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.sockets[from]; ok {
		return c, nil
	}
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.to.Addr(), 0))
	c, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	p.sockets[from] = c
	go p.forwardReplies(c, from)

	return c, nil
}

// forwardReplies forwards datagrams of the agent to the entry at to, and those of other agents that
// answer the entry because this one passed a message on to them. The entry knows each agent by the
// address of its proxy.
func (p *datagramProxy) forwardReplies(c *net.UDPConn, to netip.AddrPort) {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		sender, ok := p.others.find(from)
		if !ok {
			continue
		}
		f := sender.fault.Load()
		if f.DropOut || rand.Float64() < f.Loss {
			continue
		}
		f.deliver(b[:n], func(b []byte) {
			_, _ = sender.listen.WriteToUDPAddrPort(b, to)
		})
	}
}

// deliver writes a datagram, immediately or after the delay.
func (f *linkFault) deliver(b []byte, write func([]byte)) {
	if f.Delay == 0 {
		write(b)

		return
	}
	b = append([]byte(nil), b...)
	time.AfterFunc(f.Delay, func() {
		write(b)
	})
}

// streamProxy forwards TCP connections to one address: those of an entry to the store, or
// those of other entries to a seed entry.
type streamProxy struct {
	listen net.Listener
	to     string
	// silent holds back all data while connections stay open.
	silent atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newStreamProxy(listen, to netip.AddrPort) (*streamProxy, error) {
	l, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, err
	}
	p := &streamProxy{
		listen: l,
		to:     to.String(),
		conns:  map[net.Conn]bool{},
	}
	go p.run()

	return p, nil
}

// run accepts connections and forwards them.
func (p *streamProxy) run() {
	for {
		c, err := p.listen.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp4", p.to)
		if err != nil {
			c.Close()
			continue
		}
		p.mu.Lock()
		p.conns[c] = true
		p.conns[up] = true
		p.mu.Unlock()
		go p.copy(up, c)
		go p.copy(c, up)
	}
}

// copy forwards data in one direction until the connection ends.
func (p *streamProxy) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		for p.silent.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{to, from} {
		c.Close()
		delete(p.conns, c)
	}
}

// reset aborts all open connections with an RST.
func (p *streamProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}
