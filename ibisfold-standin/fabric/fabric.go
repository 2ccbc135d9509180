// Package fabric simulates the network between the processes of a site. It binds the addresses
// that the processes advertise and relays to the addresses on which they listen, with the delay
// between zones and with faults that a test or a demo sets.
package fabric

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"ibisfold.example/core/packet"
	"ibisfold.example/ibisfold-standin/delay"
)

const readBufferBytes = 4 << 20

// ErrDuplicate means that another node already has the address.
const ErrDuplicate = errors.ConstError("address is taken")

// Node is a process on the network.
type Node struct {
	Zone string
	// Advertise is the address that the fabric binds for the node.
	Advertise netip.AddrPort
	// Listen is the address that the node itself binds. Its IP address identifies the node as a
	// sender, so no two nodes may share it.
	Listen netip.AddrPort
}

// port holds the sockets that are bound to the advertised address of a node.
type port struct {
	node Node
	udp  *net.UDPConn
	tcp  *net.TCPListener
}

// Fabric relays datagrams and TCP streams between nodes.
type Fabric struct {
	Path *Path
	// Relayed and Lost count datagrams. Datagrams of an unknown sender count as lost.
	Relayed atomic.Uint64
	Lost    atomic.Uint64
	// Bytes counts the bytes of relayed datagrams.
	Bytes atomic.Uint64

	line *delay.Line

	mu          sync.RWMutex
	byIP        map[netip.Addr]*port
	byAdvertise map[netip.AddrPort]*port
}

// New starts a fabric without nodes. Close stops it.
func New(p *Path) *Fabric {
	return &Fabric{
		Path:        p,
		line:        delay.NewLine(),
		byIP:        map[netip.Addr]*port{},
		byAdvertise: map[netip.AddrPort]*port{},
	}
}

// Add binds a node's advertised address and starts to relay to the node. Error: ErrDuplicate.
func (f *Fabric) Add(n Node) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.byAdvertise[n.Advertise] != nil || f.byIP[n.Listen.Addr()] != nil {
		return errors.Annotate(ErrDuplicate, n.Advertise.String())
	}
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.Advertise))
	if err != nil {
		return errors.Trace(err)
	}
	_ = u.SetReadBuffer(readBufferBytes)
	t, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(n.Advertise))
	if err != nil {
		_ = u.Close()
		return errors.Trace(err)
	}

	p := &port{
		node: n,
		udp:  u,
		tcp:  t,
	}
	f.byAdvertise[n.Advertise] = p
	f.byIP[n.Listen.Addr()] = p
	go f.relayUDP(p)
	go f.acceptTCP(p)

	return nil
}

// Close stops the relays. Delayed datagrams are dropped.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.line.Close()
	for _, p := range f.byAdvertise {
		_ = p.udp.Close()
		_ = p.tcp.Close()
	}
}

// portOf returns the port of the node that listens on an IP address, or nil.
func (f *Fabric) portOf(a netip.Addr) *port {
	f.mu.RLock()
	defer f.mu.RUnlock()

	return f.byIP[a]
}

func (f *Fabric) relayUDP(to *port) {
	b := make([]byte, packet.MaxBytes+packet.TunnelBytes)
	for {
		n, a, err := to.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.forward(f.portOf(a.Addr().Unmap()), to, b[:n])
	}
}

// forward sends a datagram from the sender's advertised address, to which the receiver can reply.
func (f *Fabric) forward(from, to *port, b []byte) {
	if from == nil {
		f.Lost.Add(1)
		return
	}
	d, lost := f.Path.Next(from.node, to.node)
	if lost {
		f.Lost.Add(1)
		return
	}

	c := append([]byte(nil), b...)
	f.line.After(d, func() {
		f.Relayed.Add(1)
		f.Bytes.Add(uint64(len(c)))
		_, _ = from.udp.WriteToUDPAddrPort(c, to.node.Listen)
	})
}
