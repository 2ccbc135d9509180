package proof_test

import (
	"bytes"
	"fmt"
	"maps"
	"net/netip"
	"time"

	"ibisfold.example/core/agent"
	"ibisfold.example/core/entry"
	"ibisfold.example/core/mesh"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// meshMessage, tunnelMessage and callerMessage are the messages that the network
// carries to processes.
type meshMessage struct {
	from netip.AddrPort
	body mesh.Wire
}

type tunnelMessage struct {
	header packet.Tunnel
	packet packet.Packet
	body   []byte
}

type callerMessage struct {
	from   *caller
	packet packet.Packet
}

// control is the control side of a node, which entries and agents have in common. It
// runs the mesh core, which distributes tickets.
type control struct {
	process
	role mesh.Role
	core *mesh.Core
	w    *world
	// onPublish runs when the core has a new state or lease.
	onPublish func()
	// renumberedReads counts the reads that lastReadWins changed, for breakMerge.
	renumberedReads uint64
}

func (c *control) node() mesh.Node {
	return mesh.Node{
		Addr:        c.addr,
		Zone:        c.zone,
		Role:        c.role,
		Incarnation: c.incarnation,
	}
}

// boot starts the control side with an empty state.
func (c *control) boot(seeds []netip.AddrPort) {
	c.alive = true
	c.paused = false
	c.backlog = nil
	c.index = 0
	c.incarnation = c.w.nextIncarnation()
	c.since = c.w.Now
	c.core = mesh.New(mesh.Options{
		Self:  c.node(),
		Seeds: seeds,
		Seed:  c.w.rand.Uint64(),
	})
	c.post(mesh.Tick{})
	c.w.every(&c.process, mesh.TickInterval, func() {
		c.post(mesh.Tick{})
	})
}

func (c *control) post(m mesh.Message) {
	if c.paused {
		return
	}
	c.w.inputs++
	if r, ok := m.(mesh.ConfigRead); ok && c.w.disabled == breakMerge {
		m = c.lastReadWins(r)
	}
	for _, command := range c.core.Update(c.w.Now, m) {
		c.execute(command)
	}
}

func (c *control) execute(command mesh.Command) {
	switch m := command.(type) {
	case mesh.Send:
		c.w.send(&c.process, m.To, meshMessage{
			from: c.addr,
			body: m.Body,
		})
	case mesh.ReadConfig:
		c.w.read(&c.process, m.Wait, c.post)
	case mesh.ListVMs:
		incarnation := c.incarnation
		c.w.After(configDelay, func() {
			if c.alive && c.incarnation == incarnation && !c.w.config.down {
				c.post(mesh.VMsListed{
					Nodes: c.w.vms(),
				})
			}
		})
	case mesh.Publish:
		c.onPublish()
	}
}

func (c *control) receive(m meshMessage) {
	c.post(mesh.Received{
		From: m.from,
		Body: m.body,
	})
}

// lastReadWins gives the newest ticket of a read a higher number than all before,
// so that the order of arrival decides which ticket is in force.
func (c *control) lastReadWins(r mesh.ConfigRead) mesh.Message {
	if len(r.Texts) == 0 {
		return r
	}
	last := r.Texts[len(r.Texts)-1]
	end := bytes.IndexByte(last, '\n')
	if end < 0 {
		return r
	}
	c.renumberedReads++
	text := append(ticketLine(1000*c.renumberedReads+c.incarnation), last[end+1:]...)

	return mesh.ConfigRead{
		Texts: append(r.Texts[:len(r.Texts)-1:len(r.Texts)-1], text),
	}
}

// entryNode is an entry: control side and traffic path.
type entryNode struct {
	control
	snapshot *entry.Snapshot
}

func (w *world) addEntry(name, zone string, addr netip.AddrPort) *entryNode {
	n := &entryNode{
		control: control{
			process: process{
				name: name,
				addr: addr,
				zone: zone,
			},
			role: mesh.RoleEntry,
			w:    w,
		},
	}
	n.onPublish = n.publish
	w.entries = append(w.entries, n)
	w.byAddress[addr] = n

	return n
}

func (n *entryNode) start() {
	n.snapshot = &entry.Snapshot{}
	n.boot(n.w.seeds())
}

func (n *entryNode) publish() {
	until := n.core.ConfirmedUntil()
	if n.w.disabled == breakLease && until > 0 {
		until = time.Duration(1<<63 - 1)
	}
	if n.snapshot.Matches(n.core.State().Digest(), n.core.Suspects()) {
		n.snapshot = n.snapshot.Renew(until)

		return
	}
	state := n.core.State()
	if n.w.disabled == breakZone {
		state = withAllZones(state)
	}
	n.snapshot = entry.Build(state, maps.Clone(n.core.Suspects())).Renew(until)
}

func (n *entryNode) handle(m any) {
	switch m := m.(type) {
	case meshMessage:
		n.receive(m)
	case callerMessage:
		n.route(m)
	case tunnelMessage:
		if c := n.w.callerAt(m.header.Caller); m.header.Kind == packet.ToEntry && c != nil && n.snapshot.Relays(n.w.Now) {
			p := m.packet
			n.w.carry(time.Millisecond, func() {
				c.handle(p)
			})
		}
	}
}

func (n *entryNode) route(m callerMessage) {
	p := m.packet
	d := entry.Route(n.snapshot, n.w.keys, n.w.Now, &p)
	switch d.Action {
	case entry.Forward:
		n.w.oracle.checkZone(n.w.targetName(d.Target), "a packet of "+n.name)
		n.w.send(&n.process, d.Agent, tunnelMessage{
			header: d.Header(n.snapshot, n.addr, m.from.addr),
			packet: p,
		})
	case entry.Reply:
		a := d.Answer(&p)
		n.w.carry(time.Millisecond, func() {
			m.from.handle(a)
		})
	}
}

// agentNode is an agent with the target beside it.
type agentNode struct {
	control
	target *target
	agent  *agent.Core
	view   *agent.View
	digest ticket.Digest
	// formerServices lists the services whose groups the core still needs.
	formerServices []uint64
	// rebuild is set when formerServices has changed.
	rebuild bool
	// stopped is set when a graceful shutdown is complete.
	stopped       bool
	requestCopies uint64
}

func (w *world) addAgent(name, zone string, addr netip.AddrPort, slots int) *agentNode {
	n := &agentNode{
		control: control{
			process: process{
				name: name,
				addr: addr,
				zone: zone,
			},
			role: mesh.RoleAgent,
			w:    w,
		},
	}
	n.target = newTarget(w, n, slots)
	n.onPublish = n.publish
	w.agents = append(w.agents, n)
	w.byAddress[addr] = n

	return n
}

// start starts the agent with an empty state. It does nothing on a VM whose address
// has gone to another VM.
func (n *agentNode) start() {
	if n.w.byAddress[n.addr] != node(n) {
		return
	}
	n.stopped = false
	n.digest = ticket.Digest{}
	n.formerServices = nil
	n.view = &agent.View{}
	n.boot(n.w.seeds())
	n.agent = agent.New(agent.Options{
		Self:        n.addr,
		Name:        n.name,
		Incarnation: n.incarnation,
		Keys:        n.w.keys,
		Seed:        n.w.rand.Uint64(),
	})
	n.w.every(&n.process, agent.TickInterval, func() {
		n.update(agent.Tick{})
	})
	n.publish()
}

func (n *agentNode) publish() {
	if n.agent == nil {
		return
	}
	v := *n.view
	if d := n.core.State().Digest(); d != n.digest || n.rebuild {
		n.digest = d
		n.rebuild = false
		v = *agent.BuildView(n.core.State(), n.name, n.formerServices...)
	}
	v.ConfirmedUntil = n.core.ConfirmedUntil()
	if n.w.disabled == breakLease && v.ConfirmedUntil > 0 {
		v.ConfirmedUntil = time.Duration(1<<63 - 1)
	}
	if n.w.disabled == breakAdmission {
		v.Slots = 20
	}
	n.view = &v
	if n.w.verbose {
		fmt.Printf("%12v v %s ticket %d zone %v until %v\n", n.w.Now, n.name, v.Ticket, v.ZoneInService, v.ConfirmedUntil)
	}
	n.update(agent.ViewChanged{
		View: n.view,
	})
}

func (n *agentNode) handle(m any) {
	switch m := m.(type) {
	case meshMessage:
		n.receive(m)
	case tunnelMessage:
		n.tunnel(m)
	}
}

func (n *agentNode) tunnel(m tunnelMessage) {
	switch {
	case n.w.disabled == breakFencing:
		n.bypassFencing(&m)
	case n.w.disabled == breakChain && m.header.Kind == packet.ToOwner:
		return
	case n.w.disabled == breakAtMostOnce && m.packet.Kind == packet.Request:
		n.requestCopies++
		m.packet.Request = m.packet.Request<<20 | n.requestCopies
	}
	n.update(agent.FromTunnel{
		Header: m.header,
		Packet: m.packet,
		Body:   bytes.Clone(m.body),
	})
}

// bypassFencing makes a message from an entry or an agent name this target and
// incarnation, so that the agent takes it.
func (n *agentNode) bypassFencing(m *tunnelMessage) {
	service := ticket.ID(n.w.oracle.latest().Targets[n.name].Value.Service)
	target := ticket.ID(n.name)
	switch m.header.Kind {
	case packet.ToAgent, packet.ToOwner:
		if t := &m.packet.Token; !t.IsZero() {
			t.Service = service
			t.Target = target
			t.Incarnation = n.incarnation
			t.Sign(n.w.keys, m.packet.Flow)
		}
	case packet.Offer, packet.Handover:
	default:
		return
	}
	m.header.Service = service
	m.header.Target = target
	m.header.Incarnation = n.incarnation
}

func (n *agentNode) update(m agent.Message) {
	if n.paused || !n.alive {
		return
	}
	n.w.inputs++
	for _, c := range n.agent.Update(n.w.Now, m) {
		n.perform(c)
	}
}

func (n *agentNode) perform(c agent.Command) {
	switch c := c.(type) {
	case agent.SendTunnel:
		if n.w.disabled == breakChain && c.Packet.Kind == packet.Moved {
			return
		}
		p := c.Packet
		p.Payload = bytes.Clone(p.Payload)
		p.Tenant = bytes.Clone(p.Tenant)
		n.w.send(&n.process, c.To, tunnelMessage{
			header: c.Header,
			packet: p,
			body:   bytes.Clone(c.Body),
		})
	case agent.SendTarget:
		p := c.Packet
		p.Payload = bytes.Clone(p.Payload)
		n.w.After(100*time.Microsecond, func() {
			n.target.handle(p)
		})
	case agent.ReportSuspect:
		n.post(mesh.LocalSuspect{
			Target:      c.Target,
			Incarnation: c.Incarnation,
		})
	case agent.ReportAlive:
		n.post(mesh.LocalAlive{
			Target:      c.Target,
			Incarnation: c.Incarnation,
		})
	case agent.WatchServices:
		n.formerServices = c.Services
		n.rebuild = true
		n.w.After(time.Millisecond, n.publish)
	case agent.Stopped:
		n.stopped = true
		n.alive = false
	}
}

// seeds returns the addresses that the settings of every process list as seeds.
func (w *world) seeds() []netip.AddrPort {
	s := []netip.AddrPort{}
	for i, n := range w.entries {
		if i < 3 {
			s = append(s, n.addr)
		}
	}
	for i, n := range w.agents {
		if i < 3 {
			s = append(s, n.addr)
		}
	}

	return s
}

func (n *entryNode) kill() { n.alive = false }
func (n *agentNode) kill() { n.alive = false }
