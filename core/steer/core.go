// Package steer decides for an entry where the packets of opaque flows go: which target
// gets a new flow, and which agent owns a flow that was opened through another entry. It
// performs no I/O; time and random numbers are arguments.
package steer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// TickTime is the interval between two Ticks.
	TickTime = 20 * time.Millisecond
	// minPause is the time since the last Tick from which the process counts as paused:
	// messages that it waited for may have arrived in the meantime.
	minPause = 60 * time.Millisecond
	// flowExpiryMargin is how much longer than the idle timeout of the configuration a flow
	// is remembered.
	flowExpiryMargin = 5 * time.Second
	// defaultMaxFlowAge is the MaxFlowAge of a Core that has none.
	defaultMaxFlowAge = 60 * time.Second
	// sweepInterval is the time between two removals of idle flows.
	sweepInterval = time.Second
)

// Core holds the state of one entry. Set the exported fields before the first Update.
type Core struct {
	// Zone is the entry's availability zone.
	Zone string
	// RelayPort is the port on which every agent receives messages.
	RelayPort uint16
	// LinkRate is the rate of the VM's link in bytes per second; zero if it is not known.
	LinkRate int
	// MaxFlowAge is the idle time after which caller and target discard a flow; 60 s if
	// zero.
	MaxFlowAge time.Duration
	// Policy holds the thresholds; DefaultPolicy if nil.
	Policy *Policy
	Random *rand.Rand

	// snapshot is nil before the first catalog. Until then updateEarly handles all messages, and
	// there are no flows and no searches.
	snapshot *catalog.Snapshot
	// listed maps the agents of all targets in the snapshot to their targets, listedOrder
	// holds them in a fixed order.
	listed      map[netip.AddrPort]*catalog.Member
	listedOrder []netip.AddrPort
	flows       map[segment.Key]*flow
	// opening holds the flows whose SYN no target has answered yet and that still try other
	// targets.
	opening   map[segment.Key]*flow
	searches  map[segment.Key]*search
	listState listState
	// replySets is reused by each classifyReplies.
	replySets replySets
	agents    map[netip.AddrPort]*agent
	// agentOrder holds the keys of agents, so that iteration has a fixed order.
	agentOrder []netip.AddrPort
	// early holds packets that arrived before the first catalog.
	early   []earlyPacket
	tables  keptTables
	queries queries
	// probes limits the packets that are sent to unsure agents.
	probes tokenBucket
	// lastHeard is when the last message of any agent arrived.
	lastHeard time.Duration
	// lastHeardFrom is the agent that sent it.
	lastHeardFrom netip.AddrPort
	// nextLinkCheck is the index in listedOrder of the last agent that checkLink queried.
	nextLinkCheck int
	commands      []Command
	// sendPool holds Sends that are reused by each Update, sendCount is the number of those
	// in use. A packet of a known flow costs no allocation.
	sendPool  []*Send
	sendCount int
	// lastTick is when the last Tick came or the last pause ended.
	lastTick  time.Duration
	lastSweep time.Duration
}

// flow is what an entry knows of a flow.
type flow struct {
	// owner is the agent that answered that its target holds the flow; invalid as long as
	// none has.
	owner netip.AddrPort
	// tried holds the agents that got the SYN, in order, without those that returned a
	// later packet.
	tried []netip.AddrPort
	// syn is the caller's SYN, kept until the caller sends a later packet.
	syn []byte
	// refused holds the agents in tried that returned the SYN. Each of the others may still
	// open the flow.
	refused []netip.AddrPort
	// accepted holds the agents in tried whose target answered the SYN.
	accepted []netip.AddrPort
	// recipients holds the agents that got every packet after the SYN, up to the first one
	// that they returned. An agent that is not among them may lack packets that another
	// agent returned.
	recipients []netip.AddrPort
	// waiting is the decision on the SYN that was last logged while no further target was
	// left.
	waiting Decision
	// synsSeen is the number of SYNs, the first one and its copies, that came to this entry
	// before any of them went elsewhere.
	synsSeen uint32
	// began is when the caller sent the first copy of the SYN, or when the owner was found if
	// no copy came here; opened is when a copy first came, and due when another target gets
	// it if none has answered.
	began    time.Duration
	opened   time.Duration
	due      time.Duration
	lastUsed time.Duration
	// distrustUntil is until when an Owned of an agent that did not get the SYN may refer
	// to an earlier flow with the same key, whose owner this entry searched for.
	distrustUntil time.Duration
	// ack is the sequence number that the caller acknowledged last, for a reset.
	ack uint32
}

// Update handles a message and returns the resulting commands. The commands and the packets
// in them are valid until the next Update.
func (c *Core) Update(now time.Duration, m Message) []Command {
	c.init(now)
	c.commands = c.commands[:0]
	c.sendCount = 0
	c.detectPause(now)
	if c.snapshot == nil {
		c.updateEarly(now, m)
	} else {
		c.update(now, m)
	}

	return c.commands
}

// update handles a message once there is a catalog.
func (c *Core) update(now time.Duration, m Message) {
	switch m := m.(type) {
	case *CallerPacket:
		c.handleCallerPacket(now, m)
	case *AgentMessage:
		if c.admits(m.From) {
			c.handleAgentMessage(now, m)
		}
	case CatalogChanged:
		c.setSnapshot(now, m)
		c.resolveSearches(now)
	case CatalogConfirmed:
		c.confirmList(now-m.Age, now-m.MaxAge)
		c.resolveSearches(now)
	case PortChecked:
		c.handlePortCheck(now, m)
	case Tick:
		c.tick(now, m.Behind)
	}
}

func (c *Core) init(now time.Duration) {
	if c.flows != nil {
		return
	}
	c.flows = map[segment.Key]*flow{}
	c.opening = map[segment.Key]*flow{}
	c.searches = map[segment.Key]*search{}
	c.agents = map[netip.AddrPort]*agent{}
	if c.Policy == nil {
		p := DefaultPolicy()
		c.Policy = &p
	}
	c.queries = queries{
		waiting:     map[netip.AddrPort][]segment.Key{},
		tokenBucket: newTokenBucket(now, c.LinkRate, c.Policy.QuestionShare),
	}
	c.probes = newTokenBucket(now, c.LinkRate, c.Policy.ProbeShare)
	c.lastTick = now
	c.lastSweep = now
	if c.MaxFlowAge == 0 {
		c.MaxFlowAge = defaultMaxFlowAge
	}
}

// agentOf returns the address of the agent beside a target.
func (c *Core) agentOf(m *catalog.Member) netip.AddrPort {
	return netip.AddrPortFrom(m.Address.Addr(), c.RelayPort)
}

// Flows returns the number of known flows.
func (c *Core) Flows() int {
	return len(c.flows)
}

// Forget discards what is known of a flow, after a message about it could not be handled. The
// flow's next packet starts a search for its owner.
func (c *Core) Forget(k segment.Key) {
	delete(c.flows, k)
	delete(c.opening, k)
	if s, ok := c.searches[k]; ok {
		c.releaseReserved(s)
		delete(c.searches, k)
	}
}

func (c *Core) send(to netip.AddrPort, m relay.Message) {
	if c.sendCount == len(c.sendPool) {
		c.sendPool = append(c.sendPool, &Send{})
	}
	s := c.sendPool[c.sendCount]
	c.sendCount++
	s.To = to
	s.Message = m
	if a, ok := c.agents[to]; ok {
		s.Message.Leaving = a.leaving
	}
	c.commands = append(c.commands, s)
}

func (c *Core) reset(k segment.Key, seq uint32) {
	c.commands = append(c.commands, Reset{
		Key: k,
		Seq: seq,
	})
}

func (c *Core) measure(m Measure, d time.Duration) {
	c.commands = append(c.commands, Measured{
		Measure: m,
		Time:    d,
	})
}

// note adds a log line and fills in the fields that every line has.
func (c *Core) note(now time.Duration, n Note) {
	if c.snapshot != nil {
		n.Version = c.snapshot.Config.Version
	}
	if a, ok := c.agents[n.Agent]; ok && a.everHeard {
		n.Age = now - a.heard
	}
	c.commands = append(c.commands, n)
}

func (c *Core) tick(now time.Duration, behind bool) {
	if behind {
		c.restartTimers(now)
	}
	c.lastTick = now
	c.tickAgents(now)
	c.tickTables(now)
	c.tickOpening(now)
	c.tickSearches(now)
	c.flushQueries(now)
	if now-c.lastSweep >= sweepInterval {
		c.lastSweep = now
		c.sweep(now)
		c.evictUnlisted(now)
	}
}

// restartTimers restarts all timeouts, after a pause of this process or while its sockets
// have a backlog.
func (c *Core) restartTimers(now time.Duration) {
	for _, a := range c.agents {
		a.awaitingSince = now
		a.port.restart()
		if a.unanswered > 0 {
			a.firstQuery = now
			a.unanswered = 1
		}
	}
	for _, f := range c.opening {
		f.due = now + c.Policy.AcceptTime
	}
	for _, s := range c.searches {
		s.restartTimers(now)
	}
}

// sweep removes flows that have been idle for longer than caller and target keep them.
func (c *Core) sweep(now time.Duration) {
	idle := c.MaxFlowAge
	if c.snapshot != nil && c.snapshot.Config.IdleTime > 0 {
		idle = c.snapshot.Config.IdleTime
	}
	for k, f := range c.flows {
		if now-f.lastUsed > idle+flowExpiryMargin {
			delete(c.flows, k)
			delete(c.opening, k)
		}
	}
}
