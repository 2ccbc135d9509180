package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// testAgents answers an entry's messages at once. Agents that are not in replies are
// silent, and their VMs refuse connections unless ports has another state; those that answer
// Unsure bounce probes unless they are the owner.
type testAgents struct {
	replies map[netip.AddrPort]relay.Kind
	ports   map[netip.AddrPort]PortState
	owner   netip.AddrPort
	// probes counts the probes, delivered the packets that the owner got, resets the
	// resets, requests the confirmations of the list that were asked for.
	probes    int
	delivered int
	resets    int
	requests  int
	notes     []Note
}

func newTestAgents(list []netip.AddrPort, x relay.Kind) *testAgents {
	t := &testAgents{
		replies: map[netip.AddrPort]relay.Kind{},
	}
	for _, a := range list {
		t.replies[a] = x
	}

	return t
}

// update gives the entry a message, and the agents' answers until there are none.
func (t *testAgents) update(c *Core, now time.Duration, m Message) {
	answers := t.collect(c.Update(now, m))
	for len(answers) > 0 {
		next := answers[0]
		answers = append(answers[1:], t.collect(c.Update(now, next))...)
	}
}

func (t *testAgents) collect(commands []Command) []Message {
	answers := []Message{}
	for _, x := range passOn(commands) {
		switch x := x.(type) {
		case *Send:
			if m, ok := t.answer(x); ok {
				answers = append(answers, &m)
			}
		case CheckPort:
			answers = append(answers, PortChecked{
				Agent:      x.Agent,
				State:      t.port(x.Agent),
				OtherState: t.port(x.Other),
			})
		case ConfirmList:
			t.requests++
		case Reset:
			t.resets++
		case Note:
			t.notes = append(t.notes, x)
		}
	}

	return answers
}

func (t *testAgents) port(a netip.AddrPort) PortState {
	if s, ok := t.ports[a]; ok {
		return s
	}
	if _, ok := t.replies[a]; ok {
		return PortAccepted
	}

	return PortRefused
}

func (t *testAgents) answer(s *Send) (AgentMessage, bool) {
	owns := s.To == t.owner
	if s.Message.Kind == relay.Probe {
		t.probes++
	}
	reply, ok := t.replies[s.To]
	if !ok {
		return AgentMessage{}, false
	}
	m := AgentMessage{
		From: s.To,
		Message: relay.Message{
			Kind: reply,
			Key:  s.Message.Key,
		},
	}
	switch s.Message.Kind {
	case relay.Find:
	case relay.FindMany:
		m.Message.Kind = relay.Answers
		m.Message.Keys = slices.Clone(s.Message.Keys)
		m.Message.Ownership = slices.Repeat([]relay.Kind{reply}, len(s.Message.Keys))
	case relay.Probe:
		if !owns {
			return bounce(s), true
		}
		t.delivered++
		m.Message.Kind = relay.Owned
	case relay.Deliver:
		if owns {
			t.delivered++
		}

		return AgentMessage{}, false
	default:
		return AgentMessage{}, false
	}

	return m, true
}

// run advances time from tick to tick, with a packet of the caller at each time in copies.
func (t *testAgents) run(c *Core, from, to time.Duration, confirmed bool, copies ...time.Duration) {
	for now := from; now < to; now += TickTime {
		if confirmed {
			t.update(c, now, CatalogConfirmed{})
		}
		t.update(c, now, Tick{})
		if slices.Contains(copies, now) {
			t.update(c, now, testPacket(1, segment.ACK))
		}
	}
}

// updateList gives the entry a list without the targets of some agents, which are either
// departed or missing altogether.
func updateList(c *Core, now time.Duration, departed bool, without ...netip.AddrPort) {
	n := *c.snapshot
	n.Groups = map[uint64][]catalog.Member{}
	for service, group := range c.snapshot.Groups {
		for i := range group {
			switch {
			case !slices.Contains(without, c.agentOf(&group[i])):
				n.Groups[service] = append(n.Groups[service], group[i])
			case departed:
				n.Departed = append(n.Departed, group[i])
			}
		}
	}
	c.Update(now, CatalogChanged{
		Snapshot:  &n,
		Confirmed: true,
	})
}

func receive(c *Core, now time.Duration, from netip.AddrPort, m relay.Message) {
	c.Update(now, &AgentMessage{
		From:    from,
		Message: m,
	})
}

// stopMessage returns the announcement of a planned stop.
func stopMessage(reason relay.Reason) relay.Message {
	return relay.Message{
		Kind:   relay.Stopping,
		Reason: reason,
	}
}

var flowOne = testPacket(1, segment.ACK).Segment.Key

// Guards against packets of a flow that reach many targets and not its own, because two
// entries each probe some targets during a rolling restart of the agents. Issue 21.
func TestRollingRestartDoesNotMisroute(t *testing.T) {
	is := is.New(t)
	const downtime = 500 * time.Millisecond
	list := slices.Clone(newTestCore(9).listedOrder)
	agents := newTestAgents(list, relay.Unsure)
	agents.owner = list[8]
	for i := range list {
		// The flow moves from one entry to the other; neither of them knows it.
		entries := [2]*Core{newTestCore(9), newTestCore(9)}
		begin := time.Duration(i) * 2 * downtime
		agents.probes = 0
		agents.delivered = 0
		delete(agents.replies, list[i])
		agents.run(entries[0], begin, begin+downtime/2, true, begin+60*time.Millisecond)
		agents.run(entries[1], begin+downtime/2, begin+downtime, true, begin+downtime/2+20*time.Millisecond)
		is.Equal(agents.probes, 0)
		agents.replies[list[i]] = relay.Unsure
		agents.run(entries[1], begin+downtime, begin+2*downtime, true)
		is.True(agents.delivered > 0)
	}
}

// Guards against a reset of a flow whose target is alive: its agent stops as planned, and
// the target's list entry expires meanwhile. The flow is reset only once the agent is still
// unavailable after StopTime.
func TestPlannedStopOfUnlistedTargetDoesNotReset(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listedOrder[0]
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	agents.owner = owner
	agents.update(c, 0, testPacket(1, segment.ACK))
	receive(c, time.Millisecond, owner, relay.Message{
		Kind: relay.Owned,
		Key:  flowOne,
	})
	receive(c, time.Second, owner, stopMessage(relay.ReasonNone))
	updateList(c, 2*time.Second, false, owner)
	agents.run(c, 2*time.Second, 5*time.Second, true, 2*time.Second, 3*time.Second, 4*time.Second)
	is.Equal(agents.resets, 0)
	agents.run(c, 5*time.Second, 12*time.Second, true, 5*time.Second)
	is.Equal(agents.resets, 1)
}

// Guards against a reset of a flow because its agent announced a stop long ago: the agent
// has been back since and had no message for this entry.
func TestOldStopAnnouncementDoesNotReset(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listedOrder[0]
	agents := newTestAgents(c.listedOrder, relay.Owned)
	agents.owner = owner
	receive(c, 0, owner, stopMessage(relay.ReasonNone))
	c.setOwner(time.Second, flowOne, owner)
	now := c.Policy.StopTime + time.Second
	updateList(c, now, false, owner)
	agents.update(c, now, testPacket(1, segment.ACK))
	is.Equal(agents.resets, 0)
	is.Equal(agents.delivered, 1)
}

// Guards against a reset because the agent of a flow announced the end of an earlier target
// at the same address.
func TestEndedTargetIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listedOrder[0]
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	delete(agents.replies, owner)
	receive(c, 0, owner, stopMessage(relay.ReasonTargetDown))
	old := c.snapshot
	updateList(c, time.Second, false, owner)
	n := *old
	n.Groups = map[uint64][]catalog.Member{}
	for service, group := range old.Groups {
		n.Groups[service] = slices.Clone(group)
		for i := range group {
			if c.agentOf(&group[i]) == owner {
				n.Groups[service][i].ID = "new"
			}
		}
	}
	c.Update(2*time.Second, CatalogChanged{
		Snapshot:  &n,
		Confirmed: true,
	})
	agents.run(c, 2*time.Second, 2500*time.Millisecond, true, 2100*time.Millisecond)
	is.Equal(agents.resets, 0)
}

// Guards against a reset of a flow whose agent is not queried because its target is not
// listed, though the agent was heard lately. The flow is reset once the agent's VM is
// unreachable.
func TestHeardUnlistedAgentIsAwaited(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listedOrder[0]
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	receive(c, 0, owner, relay.Message{
		Kind: relay.Accepted,
		Key:  testKey,
	})
	updateList(c, time.Second, false, owner)
	agents.run(c, 2*time.Second, 4*time.Second, true, 2*time.Second, 2200*time.Millisecond, 2600*time.Millisecond)
	is.Equal(agents.resets, 0)
	agents.ports = map[netip.AddrPort]PortState{
		owner: PortSilent,
	}
	agents.run(c, 4*time.Second, 8*time.Second, true, 6*time.Second)
	is.Equal(agents.resets, 1)
}

// Guards against resets by an entry whose list of targets is outdated or was never
// confirmed: a target that it does not know may hold the flow. The search goes on, so that
// the flow is reset once the list is confirmed.
func TestStaleListDoesNotReset(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	begin := DefaultPolicy().SpreadTime + time.Second
	agents.run(c, begin, begin+time.Second, false, begin, begin+200*time.Millisecond)
	is.Equal(agents.resets, 0)
	agents.run(c, begin+time.Second, begin+2*time.Second, true)
	is.Equal(agents.resets, 1)

	blind := &Core{
		Zone:      "a",
		RelayPort: c.RelayPort,
		Random:    rand.New(rand.NewPCG(1, 1)),
	}
	blind.Update(0, CatalogChanged{
		Snapshot: c.snapshot,
	})
	agents.resets = 0
	agents.run(blind, TickTime, 3*time.Second, false, TickTime, time.Second)
	is.Equal(agents.resets, 0)
}

// Guards against a reset of a flow whose target left the list but is alive, and against new
// flows that go to that target.
func TestDepartedTargetIsQueried(t *testing.T) {
	is := is.New(t)
	c := newTestCore(3)
	owner := c.listedOrder[0]
	updateList(c, 0, true, owner)
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	agents.owner = owner
	agents.run(c, 20*time.Millisecond, time.Second, true, 40*time.Millisecond)
	is.Equal(agents.resets, 0)
	agents.replies[owner] = relay.Owned
	agents.run(c, time.Second, 2*time.Second, true, time.Second)
	is.Equal(agents.resets, 0)
	is.True(agents.delivered > 0)
	for i := range 50 {
		to, _ := synRecipients(c.Update(2*time.Second, testPacket(100+i, segment.SYN)))
		is.Equal(len(to), 1)
		is.True(to[0] != owner)
	}
}

// Guards against a flow that is not found although the agents that were missing are back:
// the search has to go on while its caller sends copies.
func TestSearchWaitsForMissingAgents(t *testing.T) {
	for _, back := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprint(back), func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(12)
			agents := newTestAgents(c.listedOrder, relay.Unsure)
			agents.owner = c.listedOrder[11]
			missing := c.listedOrder[3]
			delete(agents.replies, missing)
			const begin = TickTime
			copies := []time.Duration{begin, begin + 200*time.Millisecond, begin + 600*time.Millisecond, begin + 1400*time.Millisecond}
			agents.run(c, begin, back, true, copies...)
			is.Equal(agents.probes, 0)
			agents.replies[missing] = relay.Unsure
			agents.run(c, back, back+100*time.Millisecond, true, copies...)
			is.True(agents.delivered > 0)
		})
	}
}

// Guards against a flood of queries while many searches wait for one agent: it gets one
// query at a time for all of them.
func TestWaitingSearchesShareQueries(t *testing.T) {
	is := is.New(t)
	c := newTestCore(30)
	agents := newTestAgents(c.listedOrder, relay.Unsure)
	missing := c.listedOrder[3]
	delete(agents.replies, missing)
	agents.update(c, TickTime, Tick{})
	for i := range 200 {
		agents.update(c, TickTime, testPacket(i, segment.ACK))
	}
	agents.run(c, 2*TickTime, 200*time.Millisecond, true)
	sent := 0
	for now := 200 * time.Millisecond; now < 900*time.Millisecond; now += TickTime {
		commands := c.Update(now, Tick{})
		for _, x := range commands {
			if s, ok := x.(*Send); ok && s.To == missing {
				sent++
			}
		}
		for _, m := range agents.collect(commands) {
			agents.update(c, now, m)
		}
	}
	is.Equal(len(c.searches), 200)
	is.True(sent <= int(700*time.Millisecond/queryRetryInterval)+1)
	is.Equal(agents.probes, 0)
}

// Guards against a reset by a search that has not queried the agents of a list that has
// just arrived: an answer of another agent before the next tick ends the search.
func TestNewListIsQueriedBeforeReset(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	full := c.snapshot
	owner := c.listedOrder[0]
	updateList(c, 0, false, owner)
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	late := c.listedOrder[0]
	agents.run(c, TickTime, 200*time.Millisecond, true, TickTime)
	is.Equal(agents.resets, 0)
	is.Equal(len(c.searches), 1)
	now := 205 * time.Millisecond
	c.Update(now, CatalogChanged{
		Snapshot:  full,
		Confirmed: true,
	})
	agents.update(c, now+time.Millisecond, &AgentMessage{
		From: late,
		Message: relay.Message{
			Kind: relay.NotOwned,
			Key:  flowOne,
		},
	})
	is.Equal(agents.resets, 0)
}
