// Package meshtest runs mesh cores on a simulated network with a simulated
// clock. It serves tests and capacity runs only.
package meshtest

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
)

const (
	// step is the resolution of the clock.
	step = time.Millisecond
	// ringSlots is the number of steps ahead for which events can be scheduled.
	ringSlots = 2048
	// stepsPerTick is the number of steps between two ticks of a node.
	stepsPerTick = int(mesh.TickInterval / step)
)

// Node is one process of the network.
type Node struct {
	Self mesh.Node
	// Region is a group of zones that the functions Delay and Blocked may use.
	Region int
	Core   *mesh.Core
	// Down nodes neither tick nor receive. Paused nodes handle what they
	// received, up to 100 messages, when they resume.
	Down   bool
	Paused bool
	// InForce is when the watched ticket was merged, or zero.
	InForce time.Duration
	// Second counts the bytes sent and received in the current second. PeakBytes is
	// the most in any second since the last WatchFor.
	Second, PeakBytes int
	currentSecond     time.Duration
	inbox             []mesh.Message
}

// event is a tick or a message that reaches a node at a certain time.
type event struct {
	to *Node
	// core is the node's core when the event was scheduled. Events of a core
	// that was replaced by a restart are dropped.
	core *mesh.Core
	// message is nil for a tick.
	message mesh.Message
}

// Network connects nodes. Its behaviour is reproducible for a seed.
type Network struct {
	Now    time.Duration
	Nodes  []*Node
	Config Config
	// Watch is the ticket whose arrival sets InForce. Missing counts the nodes
	// that lack it.
	Watch   ticket.Version
	Missing int
	// Loss and Duplicate are probabilities per message.
	Loss, Duplicate float64
	// Delay and Blocked may be replaced. By default, delays are 5 to 10 ms and
	// nothing is blocked.
	Delay   func(from, to *Node) time.Duration
	Blocked func(from, to *Node) bool
	// UpdateTime is the real time spent in Update while MeasureUpdates is set.
	UpdateTime     time.Duration
	MeasureUpdates bool

	random *rand.Rand
	// ring holds the events of each of the next ringSlots steps.
	ring   [ringSlots][]event
	byAddr map[netip.AddrPort]*Node
	// parsed caches the parsed tickets by text.
	parsed map[string]parsedTicket
}

// New returns an empty network.
func New(seed uint64) *Network {
	n := &Network{
		random: rand.New(rand.NewPCG(seed, 0)),
		byAddr: map[netip.AddrPort]*Node{},
		parsed: map[string]parsedTicket{},
	}
	n.Delay = func(*Node, *Node) time.Duration {
		return 5*time.Millisecond + time.Duration(n.random.Int64N(int64(5*time.Millisecond)))
	}
	n.Blocked = func(*Node, *Node) bool { return false }

	return n
}

// Add starts a node with the next address.
func (n *Network) Add(role mesh.Role, zone string, region int, seeds ...netip.AddrPort) *Node {
	i := len(n.Nodes) + 1
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7100)
	v := &Node{
		Self: mesh.Node{
			Addr: a,
			Zone: zone,
			Role: role,
		},
		Region: region,
	}
	n.Nodes = append(n.Nodes, v)
	n.byAddr[a] = v
	n.Start(v, seeds...)

	return v
}

// Start starts a node, or restarts it without state.
func (n *Network) Start(v *Node, seeds ...netip.AddrPort) {
	v.Self.Incarnation++
	v.Down = false
	v.inbox = nil
	v.Core = mesh.New(mesh.Options{
		Self:  v.Self,
		Seeds: seeds,
		Seed:  n.random.Uint64(),
		Parse: n.parse,
		Compress: func(text []byte) []byte {
			return n.parsedTicket(text).body
		},
	})
	n.schedule(v, nil, time.Duration(1+n.random.IntN(stepsPerTick))*step)
}

// parsedTicket is a ticket's text, parsed and compressed. All nodes share it,
// because each would repeat the same work.
type parsedTicket struct {
	ticket *ticket.Ticket
	err    error
	body   []byte
}

func (n *Network) parsedTicket(text []byte) parsedTicket {
	s, ok := n.parsed[string(text)]
	if !ok {
		s.ticket, s.err = ticket.Parse(text)
		s.body = mesh.Compress(text)
		n.parsed[string(text)] = s
	}

	return s
}

func (n *Network) parse(text []byte) (*ticket.Ticket, error) {
	s := n.parsedTicket(text)

	return s.ticket, s.err
}

// schedule makes an event for a node happen after a time; a nil message is a
// tick.
func (n *Network) schedule(v *Node, m mesh.Message, after time.Duration) {
	i := int((n.Now+max(after, step))/step) % ringSlots
	n.ring[i] = append(n.ring[i], event{
		to:      v,
		core:    v.Core,
		message: m,
	})
}

// Run advances the clock by d.
func (n *Network) Run(d time.Duration) {
	n.RunUntil(d, func() bool { return false })
}

// RunUntil advances the clock until done holds, at most by d, and reports
// whether it holds. It calls done once per TickInterval.
func (n *Network) RunUntil(d time.Duration, done func() bool) bool {
	for end := n.Now + d; n.Now < end; {
		if n.Now%mesh.TickInterval == 0 {
			n.Config.tick(n)
			if done() {
				return true
			}
		}
		n.Now += step
		i := int(n.Now/step) % ringSlots
		events := n.ring[i]
		n.ring[i] = nil
		for _, e := range events {
			n.deliver(e)
		}
	}

	return done()
}

func (n *Network) deliver(e event) {
	v := e.to
	if e.core != v.Core || v.Down {
		return
	}
	if e.message == nil {
		n.schedule(v, nil, mesh.TickInterval)
	}
	if v.Paused {
		if e.message != nil && len(v.inbox) < 100 {
			v.inbox = append(v.inbox, e.message)
		}

		return
	}
	for _, m := range v.inbox {
		n.Update(v, m)
	}
	v.inbox = nil
	if e.message == nil {
		n.Update(v, mesh.Tick{})

		return
	}
	n.Update(v, e.message)
}

// Update passes a message to a node at once and executes the commands.
func (n *Network) Update(v *Node, m mesh.Message) {
	if r, ok := m.(mesh.Received); ok {
		n.countBytes(v, r.Body.Bytes())
	}
	var begin time.Time
	if n.MeasureUpdates {
		begin = time.Now()
	}
	commands := v.Core.Update(n.Now, m)
	if n.MeasureUpdates {
		n.UpdateTime += time.Since(begin)
	}
	for _, c := range commands {
		n.execute(v, c)
	}
}

func (n *Network) execute(v *Node, c mesh.Command) {
	switch c := c.(type) {
	case mesh.Send:
		n.countBytes(v, c.Body.Bytes())
		n.transmit(v, c)
	case mesh.ReadConfig:
		n.Config.read(n, v, c.Wait)
	case mesh.Publish:
		if v.InForce == 0 && n.Watch.Number > 0 && v.Core.State().Held(n.Watch) != nil {
			v.InForce = n.Now
			n.Missing--
		}
	}
}

// transmit delivers a message to its receiver unless it is blocked or lost.
func (n *Network) transmit(v *Node, c mesh.Send) {
	to := n.byAddr[c.To]
	if to == nil || n.Blocked(v, to) {
		return
	}
	m := mesh.Received{
		From: v.Self.Addr,
		Body: c.Body,
	}
	if n.random.Float64() >= n.Loss {
		n.schedule(to, m, n.Delay(v, to))
	}
	if n.Duplicate > 0 && n.random.Float64() < n.Duplicate {
		n.schedule(to, m, n.Delay(v, to))
	}
}

// countBytes adds sent or received bytes to a node's current second.
func (n *Network) countBytes(v *Node, bytes int) {
	if s := n.Now / time.Second; s != v.currentSecond {
		v.currentSecond = s
		v.Second = 0
	}
	v.Second += bytes
	v.PeakBytes = max(v.PeakBytes, v.Second)
}

// WatchFor starts to measure the arrival of a ticket, and resets all peaks.
func (n *Network) WatchFor(v ticket.Version) {
	n.Watch = v
	n.Missing = 0
	for _, d := range n.Nodes {
		d.InForce = 0
		d.PeakBytes = 0
		if !d.Down {
			n.Missing++
		}
	}
}

// Converged reports whether all running nodes have the same state.
func (n *Network) Converged() bool {
	var first *ticket.Digest
	for _, v := range n.Nodes {
		if v.Down {
			continue
		}
		d := v.Core.State().Digest()
		if first == nil {
			first = &d
		}
		if d != *first || d.Highest == 0 {
			return false
		}
	}

	return true
}
