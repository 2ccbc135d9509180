package steer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against probing that the limit on the link stops after the first targets: their
// packets would be misrouted, and the owner would get none.
func TestProbingIsNotCutShort(t *testing.T) {
	is := is.New(t)
	const targets = 40
	c := newTestCore(targets)
	agents := newTestAgents(c.listedOrder, relay.Unsure)
	agents.owner = c.listedOrder[targets-1]
	// The share of one second suffices for probing all targets twice.
	size := targets * (132 + messageOverhead)
	c.probes = newTokenBucket(0, 2*size, 1)
	flows := 6
	for i := range flows {
		agents.update(c, TickTime, testPacket(i, segment.ACK))
	}
	for now := 2 * TickTime; now < 6*time.Second; now += TickTime {
		agents.update(c, now, CatalogConfirmed{})
		agents.update(c, now, Tick{})
		if now%(200*time.Millisecond) == 0 {
			for i := range flows {
				agents.update(c, now, testPacket(i, segment.ACK))
			}
		}
		begun := 0
		for _, s := range c.searches {
			if s.probing.packets > 0 {
				begun++
			}
		}
		is.Equal(begun, 0)
	}
	is.Equal(len(c.searches), 0)
	is.Equal(agents.resets, 0)
	is.Equal(len(c.flows), flows)
}

// Guards against probes to the whole site though the flow is at a target that its hash
// prefers.
func TestPreferredTargetsAreProbedFirst(t *testing.T) {
	is := is.New(t)
	c := newTestCore(40)
	agents := newTestAgents(c.listedOrder, relay.Unsure)
	group := c.snapshot.Groups[c.routeOf(flowOne).Splits[0].Service]
	first := c.preferred(flowOne, group, c.Policy.Preferred+extraTargets, anyTarget)
	agents.owner = c.agentOf(first[len(first)-1])
	full := c.probes.tokens
	agents.update(c, 0, testPacket(1, segment.ACK))
	agents.update(c, TickTime, Tick{})
	// The probe, and a copy after the probes that reached other targets.
	is.Equal(agents.delivered, 2)
	is.Equal(agents.probes, len(first))
	sent := len(first) * (132 + messageOverhead)
	is.True(c.probes.tokens >= full-float64(sent))
}

// Guards against a probe that is lost on its way to the owner: all other targets have
// bounced the packet, so the owner has to get it again within 2 s.
func TestLostProbeIsRepeated(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	agents := newTestAgents(c.listedOrder, relay.Unsure)
	agents.owner = c.listedOrder[5]
	lost := 0
	for now := TickTime; now < time.Second; now += TickTime {
		commands := c.Update(now, Tick{})
		if now == 2*TickTime {
			commands = c.Update(now, testPacket(1, segment.ACK))
		}
		for pending := agents.collect(dropFirstProbe(commands, agents, &lost)); len(pending) > 0; pending = pending[1:] {
			next := pending[0]
			pending = append(pending, agents.collect(dropFirstProbe(c.Update(now, next), agents, &lost))...)
		}
	}
	is.Equal(lost, 1)
	// The second probe, and a copy after the probes that reached other targets.
	is.Equal(agents.delivered, 2)
}

// dropFirstProbe removes the first probe to the owner.
func dropFirstProbe(commands []Command, agents *testAgents, lost *int) []Command {
	return slices.DeleteFunc(passOn(commands), func(x Command) bool {
		s, ok := x.(*Send)
		if !ok || s.Message.Kind != relay.Probe || s.To != agents.owner || *lost > 0 {
			return false
		}
		*lost++

		return true
	})
}

// Guards against a reset, or a search without a result, whose reason the log does not
// state.
func TestSearchNotesExplainResult(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	agents := newTestAgents(c.listedOrder[2:], relay.NotOwned)
	agents.replies[c.listedOrder[1]] = relay.Unsure
	end := func(d Decision) Note {
		for _, n := range agents.notes {
			if n.Decision == d {
				return n
			}
		}
		t.Fatalf("no note %s", d)

		return Note{}
	}
	agents.run(c, TickTime, 1200*time.Millisecond, false, TickTime)
	open := end(SearchUnresolved)
	is.Equal(open.Asked, 6)
	is.Equal(open.Unsure, 1)
	is.Equal(open.Unanswered, 1)
	is.Equal(open.Tried, 0)
	is.Equal(open.Agent, c.listedOrder[0])
	is.True(open.ListAge >= time.Second)

	agents.replies[c.listedOrder[0]] = relay.NotOwned
	agents.run(c, 1200*time.Millisecond, 2*time.Second, true, 1200*time.Millisecond)
	reset := end(NotHeld)
	is.Equal(reset.Asked, 6)
	is.Equal(reset.Unsure, 0)
	is.Equal(reset.Unanswered, 0)
	is.Equal(reset.Tried, 1)
	is.True(reset.ListAge <= TickTime)
	is.Equal(end(ProbesSent).Count, 1)
}

// Guards against probing that leaves out an agent which was there when it was queried and
// is unavailable when the last missing agent is back, with or without an announcement.
func TestUnsureAgentThatLeftIsAwaited(t *testing.T) {
	for _, announced := range []bool{true, false} {
		is := is.New(t)
		c := newTestCore(6)
		agents := newTestAgents(c.listedOrder, relay.Unsure)
		missing, left := c.listedOrder[3], c.listedOrder[1]
		agents.owner = left
		delete(agents.replies, missing)
		begin := TickTime
		agents.run(c, begin, 200*time.Millisecond, true, begin)
		delete(agents.replies, left)
		if announced {
			receive(c, 200*time.Millisecond, left, stopMessage(relay.ReasonNone))
		}
		agents.run(c, 200*time.Millisecond, 360*time.Millisecond, true, begin+200*time.Millisecond)
		agents.replies[missing] = relay.Unsure
		// Before 440 ms the agent does not count as silent: only four queries are unanswered.
		agents.run(c, 360*time.Millisecond, 440*time.Millisecond, true)
		is.Equal(agents.probes, 0)
		agents.replies[left] = relay.Unsure
		back := 440 * time.Millisecond
		if announced {
			// Its flow table may arrive, which would make probing unnecessary.
			agents.run(c, back, back+restoreWindow, true)
			is.Equal(agents.probes, 0)
			back += restoreWindow
		}
		agents.run(c, back, back+160*time.Millisecond, true)
		is.True(agents.delivered > 0)
	}
}

// Guards against a search that ends without querying the agent of an unlisted target that
// was heard only after the other queries were sent.
func TestAgentHeardLaterIsQueried(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	unlisted := c.listedOrder[5]
	missing := c.listedOrder[3]
	updateList(c, 0, false, unlisted)
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	delete(agents.replies, missing)
	agents.run(c, TickTime, 300*time.Millisecond, true, TickTime)
	agents.owner = unlisted
	agents.replies[unlisted] = relay.Owned
	receive(c, 300*time.Millisecond, unlisted, relay.Message{
		Kind: relay.Accepted,
		Key:  testKey,
	})
	agents.run(c, 300*time.Millisecond, 400*time.Millisecond, true)
	is.Equal(agents.resets, 0)
	is.Equal(agents.delivered, 1)
}

// Guards against a search that keeps a share of the link reserved for probes while it waits
// for an agent that became unavailable between the two waves.
func TestWaitingSearchReleasesProbeShare(t *testing.T) {
	is := is.New(t)
	c := newTestCore(30)
	agents := newTestAgents(c.listedOrder, relay.Unsure)
	full := c.probes.tokens
	agents.update(c, 0, testPacket(1, segment.ACK))
	// It is in another zone, so the hash does not prefer it.
	left := c.listedOrder[1]
	agents.update(c, TickTime, Tick{})
	is.Equal(agents.probes, 30)
	c = newTestCore(30)
	agents.probes = 0
	stopped := false
	pending := agents.collect(c.Update(0, testPacket(1, segment.ACK)))
	pending = append(pending, agents.collect(c.Update(TickTime, Tick{}))...)
	for ; len(pending) > 0; pending = pending[1:] {
		if agents.probes > 0 && !stopped {
			stopped = true
			receive(c, TickTime, left, stopMessage(relay.ReasonNone))
		}
		next := pending[0]
		pending = append(pending, agents.collect(c.Update(TickTime, next))...)
	}
	is.True(stopped)
	is.True(agents.probes < 30)
	is.Equal(c.searches[flowOne].probing.reserved, 0)
	is.True(c.probes.tokens >= full-float64(agents.probes*(132+messageOverhead)))
}
