package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// pauseFixture is an entry with six agents that hold one flow each; one of the agents
// leaves queries unanswered.
type pauseFixture struct {
	*Core
	is     *is.I
	now    time.Duration
	silent netip.AddrPort
}

func newPauseFixture(t *testing.T) *pauseFixture {
	w := &pauseFixture{
		Core: newTestCore(6),
		is:   is.New(t),
	}
	for i, a := range w.listedOrder {
		w.Update(0, testPacket(i, segment.ACK))
		w.Update(0, w.message(a, i, relay.Owned))
	}
	// It is in another zone, and its target is not among those that the hash of flow 100
	// prefers.
	w.silent = w.listedOrder[len(w.listedOrder)-1]

	return w
}

func (w *pauseFixture) message(a netip.AddrPort, flow int, kind relay.Kind) *AgentMessage {
	return &AgentMessage{
		From: a,
		Message: relay.Message{
			Kind: kind,
			Key:  testPacket(flow, segment.ACK).Segment.Key,
		},
	}
}

// step advances time by a tick in which callers send and all agents but the silent one
// answer.
func (w *pauseFixture) step(m Message) []Command {
	w.now += TickTime
	for i, a := range w.listedOrder {
		w.Update(w.now, testPacket(i, segment.ACK))
		if a != w.silent {
			w.Update(w.now, w.message(a, i, relay.Owned))
		}
	}

	return w.Update(w.now, m)
}

// stepsToSilence returns after how many steps the agent counts as silent.
func stepsToSilence(t *testing.T) int {
	w := newPauseFixture(t)
	for n := 1; ; n++ {
		if noted(w.step(Tick{}), AgentSilent) {
			return n
		}
	}
}

func noted(commands []Command, d Decision) bool {
	for _, x := range commands {
		if n, ok := x.(Note); ok && n.Decision == d {
			return true
		}
	}

	return false
}

// Guards against an entry that takes its own pause for the silence of an agent whose
// answers wait in the entry's socket. All queries were sent before the pause; the first
// event that is handled after it is a Tick, a packet, or an answer that ends a search.
func TestPauseIsNotAgentSilence(t *testing.T) {
	before := stepsToSilence(t) - 1
	for _, tickFirst := range []bool{true, false} {
		w := newPauseFixture(t)
		for range before {
			w.is.True(!noted(w.step(Tick{}), AgentSilent))
		}
		searched := testPacket(100, segment.ACK)
		w.Update(w.now, searched)
		w.Update(w.now, Tick{})
		w.now += 3 * time.Second
		if tickFirst {
			w.is.True(!noted(w.Update(w.now, Tick{}), AgentSilent))
		}
		for range 3 {
			for _, a := range w.listedOrder[:len(w.listedOrder)-1] {
				commands := w.Update(w.now, w.message(a, 100, relay.NotOwned))
				w.is.True(!noted(commands, NotHeld))
			}
		}
		commands := w.Update(w.now, w.message(w.silent, 100, relay.Owned))
		w.is.True(noted(commands, SearchFound))
	}
}

// Guards against an entry that takes the backlog of its own sockets for the silence of an
// agent: ticks come on time while answers wait. An agent that is really silent is detected
// as fast as usual once the sockets are drained or, if that took so long that StrangerTime
// applies, within StrangerTime.
func TestSocketBacklogIsNotAgentSilence(t *testing.T) {
	const tolerance = 3
	strangerTicks := int(DefaultPolicy().StrangerTime / TickTime)
	for steps, bound := range map[int]int{
		25:  stepsToSilence(t) + tolerance,
		100: strangerTicks + tolerance,
	} {
		w := newPauseFixture(t)
		for range steps {
			w.is.True(!noted(w.step(Tick{
				Behind: true,
			}), AgentSilent))
		}
		after := 1
		for !noted(w.step(Tick{}), AgentSilent) {
			after++
		}
		w.is.True(after <= bound)
	}
}

// Guards against searches that never end in a process whose sockets always have a backlog,
// or that is paused repeatedly: they take memory, and no caller waits for them.
func TestSearchEndsWhileBehind(t *testing.T) {
	for _, step := range []time.Duration{TickTime, minPause + TickTime} {
		is := is.New(t)
		c := newTestCore(6)
		// The list is not current, so the search goes on.
		c.listState.confirmed = false
		agents := newTestAgents(c.listedOrder, relay.NotOwned)
		agents.update(c, TickTime, testPacket(1, segment.ACK))
		now := 2 * TickTime
		for ; now < 2*searchTimeout+2*step; now += step {
			agents.update(c, now, Tick{
				Behind: step == TickTime,
			})
		}
		is.Equal(len(c.searches), 0)
		is.Equal(agents.resets, 0)
	}
}
