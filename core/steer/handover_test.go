package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// tableID is the ID of the flow table of a test, the time at which its agent stopped.
const tableID = 1_000_000

// tableMessage returns an agent's message about a flow table.
func tableMessage(from netip.AddrPort, k relay.Kind, t relay.Table) *AgentMessage {
	return &AgentMessage{
		From: from,
		Message: relay.Message{
			Kind:  k,
			Table: &t,
		},
	}
}

// tablePart returns a part of a flow table with the given number of flows.
func tablePart(id int64, part, parts uint8, flows int) relay.Table {
	return relay.Table{
		ID:    id,
		Part:  part,
		Parts: parts,
		Flows: make([]relay.TableFlow, flows),
	}
}

// tablesSent returns the tables in the sent messages of a kind.
func tablesSent(commands []Command, k relay.Kind) []*relay.Table {
	list := []*relay.Table{}
	for _, x := range commands {
		if s, ok := x.(*Send); ok && s.Message.Kind == k {
			list = append(list, s.Message.Table)
		}
	}

	return list
}

// Guards against an agent that restarts and is not offered its table, or is offered one
// that is too old. Offers that an unavailable agent leaves unanswered must not count as its
// silence.
func TestTableIsOffered(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5)
	agent := c.listedOrder[0]
	c.Update(0, &AgentMessage{
		From: agent,
		Message: relay.Message{
			Kind: relay.Stopping,
		},
	})
	c.Update(0, tableMessage(agent, relay.Handover, tablePart(tableID, 0, 1, 3)))
	offers := 0
	last := time.Duration(0)
	for now := TickTime; now < 2*time.Second; now += TickTime {
		for _, x := range c.Update(now, Tick{}) {
			switch x := x.(type) {
			case *Send:
				is.Equal(x.Message.Kind, relay.HandoverOffer)
				is.Equal(x.To, agent)
				is.Equal(x.Message.Table.ID, int64(tableID))
				is.Equal(x.Message.Table.Parts, uint8(1))
				offers++
				last = now
			case Note:
				t.Error(x.Decision)
			}
		}
	}
	is.True(offers >= 14 && offers <= 16)
	is.True(last <= c.Policy.HandoverTime)
	is.Equal(c.agents[agent].unanswered, 0)
	is.Equal(len(c.tables.list), 0)
	is.Equal(c.tables.bytes, 0)
}

// Guards against a part of a table that arrives late, over a slow link, and is taken as
// evidence that the agent is back: the agent would be queried, and its flows reset because
// it is silent.
func TestLatePartDoesNotShowReturn(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5)
	agent := c.listedOrder[0]
	c.Update(time.Second, &AgentMessage{
		From: agent,
		Message: relay.Message{
			Kind: relay.Stopping,
		},
	})
	late := time.Second + 2*maxMessageDelay
	c.Update(late, tableMessage(agent, relay.Handover, tablePart(tableID, 0, 1, 3)))
	is.True(c.inPlannedStop(late, c.agents[agent]))
	is.Equal(c.agents[agent].heard, time.Second)
	// A message that the agent sends after its restart is such evidence.
	c.Update(late, tableMessage(agent, relay.HandoverDone, relay.Table{
		ID: tableID,
	}))
	is.True(!c.inPlannedStop(late, c.agents[agent]))
}

// Guards against an agent that does not get the parts that it requests, gets others, or
// gets the table of an earlier stop.
func TestRequestedPartsAreSent(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5)
	agent := c.listedOrder[0]
	handOver := func(part, flows int) {
		c.Update(0, tableMessage(agent, relay.Handover, tablePart(tableID, uint8(part), 4, flows)))
	}
	handOver(3, 5)
	handOver(0, 6)
	handOver(3, 7)
	request := func(id int64, from netip.AddrPort) []*relay.Table {
		return tablesSent(c.Update(time.Millisecond, tableMessage(from, relay.HandoverWanted, relay.Table{
			ID:     id,
			Wanted: []uint8{0, 1, 3, 255},
		})), relay.HandoverPart)
	}
	got := request(tableID, agent)
	is.Equal(len(got), 2)
	is.Equal(len(got[0].Flows), 6)
	is.Equal(len(got[1].Flows), 5)
	is.Equal(len(request(tableID, c.listedOrder[1])), 0)
	is.Equal(len(request(tableID-1, agent)), 0)

	// The table of a later stop replaces the table, also if the clock of the VM was set back
	// in between; late parts of the earlier one do not.
	for _, id := range []int64{tableID + 1, tableID - 2400} {
		c.Update(0, tableMessage(agent, relay.HandoverDone, relay.Table{
			ID: tableID,
		}))
		is.Equal(c.tables.bytes, 0)
		handOver(0, 6)
		c.Update(0, tableMessage(agent, relay.Handover, tablePart(id, 0, 4, 1)))
		handOver(1, 5)
		is.Equal(len(request(tableID, agent)), 0)
		is.Equal(len(request(id, agent)), 1)
		c.Update(0, tableMessage(agent, relay.HandoverDone, relay.Table{
			ID: tableID,
		}))
		is.Equal(len(request(id, agent)), 1)
		c.Update(0, tableMessage(agent, relay.HandoverDone, relay.Table{
			ID: id,
		}))
		is.Equal(len(request(id, agent)), 0)
		is.Equal(c.tables.bytes, 0)
	}
}

// Guards against an entry that was paused and keeps a table for longer, by the length of the
// pause.
func TestTableAgeAfterPause(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5)
	c.Update(0, tableMessage(c.listedOrder[0], relay.Handover, tablePart(tableID, 0, 1, 1)))
	c.Update(TickTime, Tick{})
	offers := tablesSent(c.Update(800*time.Millisecond, Tick{}), relay.HandoverOffer)
	is.Equal(len(offers), 1)
	is.Equal(len(tablesSent(c.Update(1100*time.Millisecond, Tick{}), relay.HandoverOffer)), 0)
}

// Guards against tables that exhaust the memory of an entry: the oldest ones are dropped.
func TestTablesAreBounded(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5)
	dropped := 0
	agentAt := func(i int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("10.9.%d.%d:7720", i>>8, i&255))
	}
	const agents = 3000
	for i := range agents {
		for _, x := range c.Update(0, tableMessage(agentAt(i), relay.Handover, tablePart(tableID, 0, 1, relay.MaxFlows))) {
			if n, ok := x.(Note); ok && n.Decision == TableDropped {
				dropped++
			}
		}
		is.True(c.tables.bytes <= maxTableBytes)
	}
	is.True(dropped > 0)
	is.Equal(len(c.tables.list), agents-dropped)
	is.True(c.tables.find(agentAt(agents-1)) != nil)
	is.True(c.tables.find(agentAt(0)) == nil)
}

// Guards against a table that is kept although the policy disables it.
func TestPolicyDisablesTables(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5)
	p := DefaultPolicy()
	p.HandoverTime = 0
	c.Policy = &p
	c.Update(0, tableMessage(c.listedOrder[0], relay.Handover, tablePart(tableID, 0, 1, 1)))
	is.Equal(len(c.tables.list), 0)
}

// Guards against allocations and commands in a tick while no agent is unavailable.
func TestTickWithoutTables(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5)
	is.Equal(testing.AllocsPerRun(100, func() {
		c.tickTables(time.Second)
	}), 0.0)
	is.Equal(len(c.Update(time.Second, Tick{})), 0)
}

// Guards against an answer to a query that is taken for a message about a flow table and
// gets no further handling.
func TestOtherMessagesPass(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5)
	k := testPacket(1, segment.ACK).Segment.Key
	c.Update(0, testPacket(1, segment.ACK))
	c.Update(0, &AgentMessage{
		From: c.listedOrder[0],
		Message: relay.Message{
			Kind: relay.Owned,
			Key:  k,
		},
	})
	is.Equal(c.flows[k].owner, c.listedOrder[0])
}
