// Package conntrack holds the decisions of an agent on opaque flows: which
// flows its target holds, as seen from the packets that pass, and whether the
// target reacts. It is pure: time is an argument.
package conntrack

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// TickTime is the time between two Ticks.
	TickTime = 20 * time.Millisecond
	// defaultMaxAge is the MaxFlowAge of a Core that has none.
	defaultMaxAge = 60 * time.Second
	// endedTime is the same for a flow that has ended at the target.
	endedTime = 5 * time.Second
	// activeTime is how lately a flow has been used to count as load.
	activeTime = 5 * time.Second
	// sweepTime is the time between two passes over all flows.
	sweepTime = time.Second
	// maxLoad bounds the load in a message, in hundredths of a request.
	maxLoad = 60000
	// probeTime is how long a target that reacts may take to bounce a packet of a
	// flow that it does not hold.
	probeTime = 40 * time.Millisecond
	// freshTime is how long before an agent's start its target may have started to
	// hold no flow that the agent missed. A process that ended is started again
	// after about 0.5 s, so no earlier agent can have opened one meanwhile.
	freshTime = 400 * time.Millisecond
	// startSlack is how much later than the agent a target that listened already may
	// say that it started: it may take the time a moment after that.
	startSlack = 100 * time.Millisecond
)

// Core decides for one agent. Set the exported fields before the first Update.
type Core struct {
	// Service identifies the target's service.
	Service uint64
	// Complete means that a flow which is not known here is not held by the target: no
	// flow is older than this process, or it has run for MaxFlowAge.
	Complete bool
	// MaxFlowAge is the age from which the ends discard a flow, by default 60 s. An
	// idle flow is remembered as long.
	MaxFlowAge time.Duration
	// Started is when the process started, in Unix milliseconds on the clock that
	// the target's start is told by.
	Started int64
	// Listened means that the target listened when the process started, so that it
	// started before.
	Listened bool
	// Policy is by default DefaultPolicy.
	Policy *Policy

	flows map[segment.Key]*flow
	// probes holds the flows whose packet the target has not reacted to yet.
	probes map[segment.Key]*flow
	// entries holds the entries that were heard, and when.
	entries map[netip.AddrPort]time.Duration
	target  target
	cold    coldStart
	work    work
	flaps   flapDamping
	// slots is the number of requests that the target works on at once; zero if it is
	// not known.
	slots   int
	backlog backlog
	stopped plannedStop
	leaving leaving
	restore restoring
	// questions may be answered by the flow table of the process before.
	questions []question
	// now is the time of the Update that runs.
	now time.Duration
	// lastTick is when the last Tick or the last pause ended.
	lastTick time.Duration
	// ran is for how long the process has run without the time that it was paused, as far
	// as it was unsure.
	ran time.Duration
	// load is the mean number of requests in progress, active the number of flows
	// lately in use.
	load     float64
	active   int
	swept    time.Duration
	commands []Command
}

// state says what is known of a flow.
type state uint8

const (
	// statePlaced: the target got the SYN and has not answered.
	statePlaced state = iota
	// stateAnswered: the target answered the SYN; the caller may have chosen
	// another target's answer.
	stateAnswered
	// stateHeld: the target holds the flow.
	stateHeld
	// stateProbed: the target got a packet of a flow that the agent does not know.
	stateProbed
	// stateAssumed: the target did not bounce such a packet, and has sent nothing of
	// the flow yet. The packet may have been lost instead.
	stateAssumed
	// stateEnded: the target has ended the flow and answers what is left of it.
	stateEnded
	// stateFree: the target bounced a packet of the flow.
	stateFree
)

// flow is what an agent remembers of a flow.
type flow struct {
	state state
	// synAck is the sequence number of the target's answer to the SYN.
	synAck uint32
	// ack is what the caller acknowledged last.
	ack uint32
	// sent is the end of what the target sent last, if located is set; otherwise nothing
	// is known of it.
	sent    uint32
	located bool
	// entry got or sent the last packet of the caller.
	entry netip.AddrPort
	// used is when the last packet passed, opened when the SYN did.
	used   time.Duration
	opened time.Duration
}

// Update takes a message and returns what to do. The commands and the packets
// in them are valid until the next Update.
func (c *Core) Update(now time.Duration, m Message) []Command {
	if c.flows == nil {
		c.flows = map[segment.Key]*flow{}
		c.probes = map[segment.Key]*flow{}
		c.entries = map[netip.AddrPort]time.Duration{}
		c.restore.began = now
		if c.Policy == nil {
			p := DefaultPolicy()
			c.Policy = &p
		}
		if c.MaxFlowAge == 0 {
			c.MaxFlowAge = defaultMaxAge
		}
		c.lastTick = now
	}
	c.commands = c.commands[:0]
	c.now = now
	c.notePause(now)
	switch m := m.(type) {
	case *EntryMessage:
		c.entryMessage(now, m)
	case *TargetPacket:
		if !c.answersBlocked(now, &m.Segment) {
			c.targetPacket(now, m)
		}
	case TargetRefused:
		c.target.refusal = true
		c.checkTarget(now)
		c.becomeComplete(now, netip.AddrPort{})
	case ServiceChanged:
		c.Service = m.Service
		c.handBack(now, relay.ReasonWrongService)
	case Stop:
		c.stop(now, m)
	case Tick:
		c.tick(now, m.Behind)
	}
	c.admitWaiting(now)
	c.answerQuestions(now)

	return c.commands
}

// Flows returns the number of flows that are remembered.
func (c *Core) Flows() int {
	return len(c.flows)
}

func (c *Core) tick(now time.Duration, behind bool) {
	if behind {
		c.forgive(now, now-c.lastTick)
	}
	c.run(now)
	c.lastTick = now
	share := float64(TickTime) / float64(c.Policy.LoadTime)
	c.load += share * (float64(c.work.progress) - c.load)
	c.work.expire(now)
	c.work.expireExpected(now, c.Policy.ExpectTime)
	c.expireWaiting(now)
	c.checkTarget(now)
	c.tickProbes(now)
	c.tickRestore(now)
	if now-c.swept >= sweepTime {
		c.swept = now
		c.sweep(now)
	}
}

// sweep forgets idle flows and counts those in use.
func (c *Core) sweep(now time.Duration) {
	c.active = 0
	for k, f := range c.flows {
		keep := c.MaxFlowAge
		if f.state == stateEnded || f.state == statePlaced && c.Complete {
			keep = endedTime
		}
		if now-f.used > keep {
			c.forget(k)
			continue
		}
		if f.state == stateHeld && now-f.used < activeTime {
			c.active++
		}
	}
	for a, at := range c.entries {
		if now-at > c.MaxFlowAge {
			delete(c.entries, a)
		}
	}
}

func (c *Core) forget(k segment.Key) {
	c.work.drop(k)
	delete(c.flows, k)
	delete(c.probes, k)
	c.restore.forgot(k)
}

// stop tells all entries that the coming silence is planned, hands the SYNs that wait
// back to them, and the flow table over to some. Where the target has ended, callers are
// told too: those of idle flows open another one before their next request, which they may
// be unable to repeat.
func (c *Core) stop(now time.Duration, m Stop) {
	reason := relay.ReasonNone
	if m.TargetEnded {
		reason = relay.ReasonTargetDown
		c.loseAll(now)
	}
	c.handBack(now, relay.ReasonFull)
	for _, a := range slices.SortedFunc(maps.Keys(c.entries), netip.AddrPort.Compare) {
		c.answer(a, relay.Message{
			Kind:   relay.Stopping,
			Reason: reason,
		})
	}
	c.handOver(now, m)
}

// answer sends a message to an entry, with the load that it takes into account.
func (c *Core) answer(to netip.AddrPort, m relay.Message) {
	c.commands = append(c.commands, ToEntry{
		To:      to,
		Message: c.withLoad(m),
	})
}

func (c *Core) withLoad(m relay.Message) relay.Message {
	m.Load = uint16(min(100*max(c.load, c.demand()), maxLoad))
	m.Unstable = c.flaps.unstable(c.now)
	m.Flows = uint16(min(c.active, 60000))

	return m
}

// demand is the number of requests that the target has, that it is about to get and
// that wait for it.
func (c *Core) demand() float64 {
	return float64(c.work.progress + len(c.work.expected) + c.backlog.size())
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
