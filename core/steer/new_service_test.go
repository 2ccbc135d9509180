package steer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// drainingList returns the list of c with all its targets draining, and the targets in more.
func drainingList(c *Core, more ...catalog.Member) CatalogChanged {
	n := *c.snapshot
	n.Groups = map[uint64][]catalog.Member{}
	for service, group := range c.snapshot.Groups {
		group = slices.Clone(group)
		for i := range group {
			group[i].Draining = true
		}
		n.Groups[service] = append(group, more...)
	}

	return CatalogChanged{
		Snapshot:  &n,
		Wall:      time.Hour.Milliseconds(),
		Confirmed: true,
	}
}

// placedAt returns how often a SYN was sent to the agent of a target.
func placedAt(commands []Command, c *Core, m *catalog.Member) int {
	n := 0
	for _, x := range commands {
		if s, ok := x.(*Send); ok && s.Message.Kind == relay.Open && s.To == c.agentOf(m) {
			n++
		}
	}

	return n
}

// Guards against a reset of a living flow in a release that replaces all targets of a service
// together: one entry uses the new target as soon as it is listed, because all others drain, and
// the list of another, confirmed a moment ago, still lacks it. Issue 39, FLOW.
func TestFlowOfNewServiceIsNotReset(t *testing.T) {
	is := is.New(t)
	added := catalog.Member{}
	for _, group := range newTestCore(3).snapshot.Groups {
		added = group[2]
	}
	const begin = 10 * time.Second
	first, second := newTestCore(2), newTestCore(2)
	first.Update(begin, drainingList(first, added))
	is.Equal(placedAt(first.Update(begin, testPacket(1, segment.SYN)), first, &added), 1)

	second.Update(begin, drainingList(second))
	agents := newTestAgents(second.listedOrder, relay.NotOwned)
	agents.run(second, begin+20*time.Millisecond, begin+time.Second, false, begin+300*time.Millisecond)
	is.Equal(agents.resets, 0)
	agents.update(second, begin+time.Second, drainingList(second, added))
}

// Guards against the same where the older targets are only busy: each has just refused a flow.
func TestFlowOfNewTargetBesideFullOnesIsNotReset(t *testing.T) {
	is := is.New(t)
	const begin = 10 * time.Second
	first, second := newTestCore(2), newTestCore(2)
	full := newTestCore(3).snapshot
	first.Update(begin, CatalogChanged{
		Snapshot: full,
		Wall:     time.Hour.Milliseconds(),
	})
	for _, a := range first.listedOrder[:2] {
		first.agent(a).avoidUntil = begin + first.Policy.FullTime
	}
	added := first.listed[first.listedOrder[2]]
	is.Equal(placedAt(first.Update(begin, testPacket(1, segment.SYN)), first, added), 1)

	second.Update(begin, CatalogConfirmed{})
	agents := newTestAgents(second.listedOrder, relay.NotOwned)
	agents.run(second, begin+20*time.Millisecond, begin+time.Second, false, begin+300*time.Millisecond)
	is.Equal(agents.resets, 0)
}

// Guards against a reset of a flow at a new target whose agent answers a little later than one
// wave of queries takes: the agent of the earlier target at the address told its end, and the
// list of this entry, confirmed a moment ago, has that target still. The new one gets flows from
// others as soon as they list it. Issue 39, FLOW.
func TestSlowAgentOfReplacedTarget(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listedOrder[0]
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	receive(c, 0, owner, stopMessage(relay.ReasonTargetDown))
	// Its process has started again beside the next target and gets no processor time.
	agents.ports = map[netip.AddrPort]PortState{
		owner: PortAccepted,
	}
	const begin = time.Second
	agents.run(c, begin, begin+120*time.Millisecond, true, begin)
	is.Equal(agents.resets, 0)
	// The agent gets processor time again and answers the queries.
	agents.replies[owner] = relay.Owned
	agents.owner = owner
	agents.run(c, begin+120*time.Millisecond, begin+500*time.Millisecond, true)
	is.True(agents.delivered > 0)
}
