// Package steer holds the decisions of an entry on opaque flows: which target
// gets a new flow, and which agent owns a flow that was opened through another
// entry. It is pure: time and random numbers are arguments.
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
	// TickTime is the time between two Ticks.
	TickTime = 20 * time.Millisecond
	// pauseTime is the time between two Ticks from which the process counts as
	// paused: what it waited for may have come meanwhile.
	pauseTime = 60 * time.Millisecond
	// flowSlack is how much longer than the idle time of the configuration a flow
	// is remembered.
	flowSlack = 5 * time.Second
	// defaultMaxAge is the MaxFlowAge of a Core that has none.
	defaultMaxAge = 60 * time.Second
	// sweepTime is the time between two removals of idle flows.
	sweepTime = time.Second
)

// Core decides for one entry. Set the exported fields before the first Update.
type Core struct {
	// Zone is the entry's availability zone.
	Zone string
	// RelayPort is the port of all agents.
	RelayPort uint16
	// LinkRate is the speed of the VM's link in bytes a second; zero if not known.
	LinkRate int
	// MaxFlowAge is the age from which the ends discard a flow, by default 60 s.
	MaxFlowAge time.Duration
	// Policy is by default DefaultPolicy.
	Policy *Policy
	Random *rand.Rand

	snapshot *catalog.Snapshot
	// listed holds the agents of all targets in the snapshot, listing their order.
	listed  map[netip.AddrPort]*catalog.Member
	listing []netip.AddrPort
	flows   map[segment.Key]*flow
	// opening holds the flows whose SYN no target has answered yet.
	opening  map[segment.Key]*flow
	searches map[segment.Key]*search
	evidence evidence
	// views is used again by each review.
	views  views
	agents map[netip.AddrPort]*agent
	// order holds the keys of agents, so that work over all has a fixed order.
	order []netip.AddrPort
	// early holds packets from before the first view.
	early     []earlyPacket
	tables    keptTables
	questions questions
	// probes bounds the packets that go to unsure agents.
	probes budget
	// lastHeard is when any agent was heard last.
	lastHeard time.Duration
	// nextHearing is the place in listing of the last agent that was asked to see
	// whether any is heard.
	nextHearing int
	commands    []Command
	// sends holds the Sends of all Updates, used again by each; sent counts those of
	// this one. A known flow's packet costs no allocation.
	sends []*Send
	sent  int
	// lastTick is when the last Tick or the last pause ended.
	lastTick time.Duration
	swept    time.Duration
}

// flow is what an entry remembers of a flow.
type flow struct {
	// owner is the agent that has told that its target holds the flow; invalid while
	// none of tried has.
	owner netip.AddrPort
	// tried holds the agents that got the SYN, in order.
	tried []netip.AddrPort
	// syn is the caller's SYN, kept until a target answers it.
	syn []byte
	// refused holds those of tried that handed the SYN back. Each of the others may
	// still open the flow.
	refused []netip.AddrPort
	// accepted holds those of tried whose target answered the SYN.
	accepted []netip.AddrPort
	// passed holds the agents that got each packet since the first, until they returned
	// one. An agent that is not in it may lack packets that another returned.
	passed []netip.AddrPort
	// first means that the first copy of the SYN came here.
	first bool
	// began is when the caller sent the first SYN, opened when one came here, due when
	// another target gets it if none has answered.
	began  time.Duration
	opened time.Duration
	due    time.Duration
	used   time.Duration
	// distrust is until when an agent that did not get the SYN may say that it owns an
	// earlier flow of the same key, which was searched here.
	distrust time.Duration
	// ack is what the caller acknowledged last, for a reset.
	ack uint32
}

// Update takes a message and returns what to do. The commands and the packets
// in them are valid until the next Update.
func (c *Core) Update(now time.Duration, m Message) []Command {
	c.init(now)
	c.commands = c.commands[:0]
	c.sent = 0
	c.notePause(now)
	switch m := m.(type) {
	case *CallerPacket:
		c.callerPacket(now, m)
	case *AgentMessage:
		if c.admits(m.From) {
			c.agentMessage(now, m)
		}
	case CatalogChanged:
		c.setSnapshot(now, m)
		c.replayEarly(now)
	case CatalogConfirmed:
		c.listConfirmed(now - m.Age)
	case Tick:
		c.tick(now, m.Behind)
	}

	return c.commands
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
	c.questions = questions{
		waiting: map[netip.AddrPort][]segment.Key{},
		budget:  newBudget(now, c.LinkRate, c.Policy.QuestionShare),
	}
	c.probes = newBudget(now, c.LinkRate, c.Policy.ProbeShare)
	c.lastTick = now
	c.swept = now
	if c.MaxFlowAge == 0 {
		c.MaxFlowAge = defaultMaxAge
	}
}

// agentOf returns the address of the agent beside a target.
func (c *Core) agentOf(m *catalog.Member) netip.AddrPort {
	return netip.AddrPortFrom(m.Address.Addr(), c.RelayPort)
}

// Flows returns the number of flows that are remembered.
func (c *Core) Flows() int {
	return len(c.flows)
}

func (c *Core) send(to netip.AddrPort, m relay.Message) {
	if c.sent == len(c.sends) {
		c.sends = append(c.sends, &Send{})
	}
	s := c.sends[c.sent]
	c.sent++
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

// note adds a line for the log, with the inputs that every line has.
func (c *Core) note(now time.Duration, n Note) {
	if c.snapshot != nil {
		n.Version = c.snapshot.Config.Version
	}
	if a, ok := c.agents[n.Agent]; ok && a.known {
		n.Age = now - a.heard
	}
	c.commands = append(c.commands, n)
}

func (c *Core) tick(now time.Duration, behind bool) {
	if behind {
		c.forgive(now)
	}
	c.lastTick = now
	c.tickAgents(now)
	c.tickTables(now)
	c.tickOpening(now)
	c.tickSearches(now)
	c.flushQuestions(now)
	if now-c.swept >= sweepTime {
		c.swept = now
		c.sweep(now)
		c.evictStrangers(now)
	}
}

// forgive restarts all waits after a pause of this process, or while its sockets are
// behind.
func (c *Core) forgive(now time.Duration) {
	for _, a := range c.agents {
		a.since = now
		if a.asks > 0 {
			a.asked = now
			a.asks = 1
		}
	}
	for _, f := range c.opening {
		f.due = now + c.Policy.AcceptTime
	}
	for _, s := range c.searches {
		s.forgive(now)
	}
}

// sweep forgets flows that have been idle for longer than ends keep them.
func (c *Core) sweep(now time.Duration) {
	idle := c.MaxFlowAge
	if c.snapshot != nil && c.snapshot.Config.IdleTime > 0 {
		idle = c.snapshot.Config.IdleTime
	}
	for k, f := range c.flows {
		if now-f.used > idle+flowSlack {
			delete(c.flows, k)
			delete(c.opening, k)
		}
	}
}
