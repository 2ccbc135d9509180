// Package conntrack tracks the opaque flows of one agent's target. From the packets that
// pass it decides which flows the target holds, whether the target responds, and when it
// can take new flows. The package is pure: it does no I/O, and the time is an argument.
package conntrack

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// TickTime is the interval between two Ticks.
	TickTime = 20 * time.Millisecond
	// defaultMaxFlowAge is the default of Core.MaxFlowAge.
	defaultMaxFlowAge = 60 * time.Second
	// maxEndedFlowAge bounds how long a flow is kept after its last packet once it has
	// ended at the target. If Complete is set, it also applies to a flow whose SYN the
	// target has not answered.
	maxEndedFlowAge = 5 * time.Second
	// maxActiveIdle bounds how long ago the last packet of a held flow passed for the flow
	// to count as active.
	maxActiveIdle = 5 * time.Second
	// sweepInterval is the interval between two passes over all flows.
	sweepInterval = time.Second
	// maxLoad bounds the load in a message, in hundredths of a request.
	maxLoad = 60000
	// probeTimeout bounds how long a responsive target takes to bounce a packet of a flow
	// that it does not hold.
	probeTimeout = 40 * time.Millisecond
)

// Core makes the decisions of one agent. Set the exported fields before the first Update.
type Core struct {
	// Service identifies the target's service.
	Service uint64
	// ServiceValidity is how long a ServiceConfirmed holds: later on, SYNs wait for the next
	// one. Zero means that they need none.
	ServiceValidity time.Duration
	// Complete means that the target holds no flow that is not known here. It rests only on
	// what this process has observed: nothing listened at the target's address at some time
	// in its life, or it has observed the target for MaxFlowAge. The one exception is the
	// first start of the whole system. See docs/decisions/0034-evidence-of-completeness.md.
	Complete bool
	// MaxFlowAge is the idle time after which both ends discard a flow, by default 60 s.
	// Idle flows are kept here for as long.
	MaxFlowAge time.Duration
	// Process differs between the processes of the agent. Entries tell by it which of them sent
	// a message.
	Process uint64
	// Started is when the process started, in Unix milliseconds. It tells flow tables apart
	// and is evidence of nothing: the clock may have been set.
	Started int64
	// Policy is DefaultPolicy by default.
	Policy *Policy

	flows map[segment.Key]*flow
	// probes holds the flows whose probe packet the target has not reacted to yet.
	probes map[segment.Key]*flow
	// entries holds when each entry was last heard.
	entries  map[netip.AddrPort]time.Duration
	target   target
	evidence serviceEvidence
	cold     coldLimiter
	inflight inflight
	damping  flapDamping
	// slots is the number of requests that the target works on at once; zero if unknown.
	slots    int
	backlog  backlog
	lastStop plannedStop
	leaving  leaving
	restore  tableRestore
	// lookups are the ownership lookups that the flow table of the previous process may
	// still answer.
	lookups []lookup
	denials denials
	// now is the time of the current Update.
	now time.Duration
	// lastTick is the time of the last Tick, or the end of the last pause if that is
	// later.
	lastTick time.Duration
	// observedTime is how long the process has run, not counting pauses, while Complete
	// was not set.
	observedTime time.Duration
	// meanLoad is the moving average of the number of requests in progress. activeFlows is
	// the number of held flows in use lately.
	meanLoad    float64
	activeFlows int
	lastSweep   time.Duration
	commands    []Command
}

// state is what is known of a flow.
type state uint8

const (
	// stateSYNPassed means that the target was sent the SYN and has not answered it.
	stateSYNPassed state = iota
	// stateAnswered means that the target answered the SYN; the caller may have chosen the
	// answer of another target.
	stateAnswered
	// stateHeld means that the target holds the flow.
	stateHeld
	// stateProbed means that the target was sent a packet of a flow that the agent does
	// not know, and has not reacted yet.
	stateProbed
	// stateAssumed means that the target did not bounce such a packet and has sent nothing
	// of the flow yet. The packet may have been lost instead.
	stateAssumed
	// stateEnded means that the target has ended the flow and still answers late packets
	// of it.
	stateEnded
	// stateNotHeld means that the target bounced a packet of the flow.
	stateNotHeld
)

// flow is the tracked state of a flow.
type flow struct {
	state state
	// synAckSeq is the sequence number of the target's answer to the SYN.
	synAckSeq uint32
	// lastAck is what the caller acknowledged last.
	lastAck uint32
	// sentEnd is the sequence number after the last data that the target sent. It is valid
	// only if sentEndKnown is set.
	sentEnd      uint32
	sentEndKnown bool
	// entry is the entry that sent the caller's last packet; byProbe means as a Probe, of which
	// the entry has a copy.
	entry   netip.AddrPort
	byProbe bool
	// lastUsed is when the last packet passed, openedAt when the SYN did.
	lastUsed time.Duration
	openedAt time.Duration
}

// Update handles a message and returns the resulting commands. The commands and the
// packets in them are valid until the next Update.
func (c *Core) Update(now time.Duration, m Message) []Command {
	if c.flows == nil {
		c.flows = map[segment.Key]*flow{}
		c.probes = map[segment.Key]*flow{}
		c.entries = map[netip.AddrPort]time.Duration{}
		c.restore.startedAt = now
		if c.Policy == nil {
			p := DefaultPolicy()
			c.Policy = &p
		}
		if c.MaxFlowAge == 0 {
			c.MaxFlowAge = defaultMaxFlowAge
		}
		c.lastTick = now
	}
	c.commands = c.commands[:0]
	c.now = now
	c.detectPause(now)
	switch m := m.(type) {
	case *EntryMessage:
		c.handleEntryMessage(now, m)
	case *TargetPacket:
		if !c.blocksSYNAnswer(now, &m.Segment) {
			c.handleTargetPacket(now, m)
		}
	case TargetRefused:
		c.handleTargetRefused(now)
	case TargetChecked:
		c.handleTargetCheck(now, m)
	case ServiceConfirmed:
		c.confirmService(now, m.Service)
	case TargetLeaves:
		c.leaveTarget(now)
	case BatchEnd:
		c.sendDenials(now)
	case Stop:
		c.stop(now, m)
	case Tick:
		c.tick(now, m.Behind)
	}
	c.admitWaiting(now)
	c.answerDeferredLookups(now)

	return c.commands
}

// Flows returns the number of tracked flows.
func (c *Core) Flows() int {
	return len(c.flows)
}

func (c *Core) tick(now time.Duration, behind bool) {
	if behind {
		c.restartTimeouts(now, now-c.lastTick)
	}
	c.creditObservedTime(now)
	c.lastTick = now
	weight := float64(TickTime) / float64(c.Policy.LoadTime)
	c.meanLoad += weight * (float64(c.inflight.inProgress) - c.meanLoad)
	c.inflight.expire(now)
	c.inflight.expireExpected(now, c.Policy.ExpectTime)
	c.refuseExpired(now)
	c.watchTarget(now)
	c.resolveProbes(now)
	c.expireRestore(now)
	if now-c.lastSweep >= sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
}

// sweep discards idle flows and counts the active ones.
func (c *Core) sweep(now time.Duration) {
	c.activeFlows = 0
	for k, f := range c.flows {
		maxIdle := c.MaxFlowAge
		if f.state == stateEnded || f.state == stateSYNPassed && c.Complete {
			maxIdle = maxEndedFlowAge
		}
		if now-f.lastUsed > maxIdle {
			c.forget(k)
			continue
		}
		if f.state == stateHeld && now-f.lastUsed < maxActiveIdle {
			c.activeFlows++
		}
	}
	for a, at := range c.entries {
		if now-at > c.MaxFlowAge {
			delete(c.entries, a)
		}
	}
}

func (c *Core) forget(k segment.Key) {
	c.inflight.drop(k)
	delete(c.flows, k)
	delete(c.probes, k)
	c.restore.recordEnded(k)
}

// Doubt discards what is known of a flow, after a packet or a message of it could not be handled. The
// target may hold the flow, so the agent is unsure of it, and the target decides. The zero key, that
// of messages about no flow or about several, has no effect.
func (c *Core) Doubt(now time.Duration, k segment.Key) {
	if c.flows == nil || k == (segment.Key{}) {
		return
	}
	c.forget(k)
	c.flows[k] = &flow{
		state:    stateProbed,
		lastUsed: now,
	}
}

// sendToEntry sends a message to an entry.
func (c *Core) sendToEntry(to netip.AddrPort, m relay.Message) {
	c.replyToEntry(ToEntry{
		To:      to,
		Message: m,
	})
}

// replyToEntry sends a message to an entry. After a planned stop was announced, another
// announcement follows it: entries of earlier versions do not read Message.Stopping.
func (c *Core) replyToEntry(x ToEntry) {
	c.appendToEntry(x)
	if c.lastStop.announced {
		c.announceStop(x.To)
	}
}

// appendToEntry sends a message to an entry and attaches the state of agent and target.
func (c *Core) appendToEntry(x ToEntry) {
	x.Message = c.withState(x.Message)
	c.commands = append(c.commands, x)
}

func (c *Core) withState(m relay.Message) relay.Message {
	m.Process = c.Process
	m.Stopping = c.lastStop.announced
	m.Load = uint16(min(100*max(c.meanLoad, c.demand()), maxLoad))
	m.Unstable = c.damping.unstable(c.now)
	m.Flows = uint16(min(c.activeFlows, 60000))

	return m
}

// demand returns the number of requests that the target has, that it is about to get, and
// that are queued for it.
func (c *Core) demand() float64 {
	return float64(c.inflight.inProgress + len(c.inflight.expected) + c.backlog.size())
}

func (c *Core) measure(m Measure, d time.Duration) {
	c.commands = append(c.commands, Measured{
		Measure: m,
		Time:    d,
	})
}

func (c *Core) note(now time.Duration, n Note) {
	n.Age = c.target.age(now)
	c.commands = append(c.commands, n)
}
