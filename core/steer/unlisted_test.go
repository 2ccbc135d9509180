package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// Guards against memory, and a number of agents to query, that grow without bound with the
// addresses from which messages arrive.
func TestUnlistedAgentsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	for i := range 100_000 {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), uint16(1024+i>>16))
		c.Update(time.Duration(i)*time.Millisecond*2, &AgentMessage{
			From: from,
			Message: relay.Message{
				Kind: relay.HandoverWanted,
				Table: &relay.Table{
					ID:     1,
					Wanted: []uint8{0},
				},
			},
		})
	}
	t.Logf("agents after 200 s: %d", len(c.agents))
	is.True(len(c.agents) < 50_000)
}

// Guards against unlisted agents that are never removed, whether heard or not, and against
// the removal of an agent whose target may hold flows.
func TestUnlistedAgentsAreEvicted(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	departed := c.listedOrder[5]
	updateList(c, 0, true, departed)
	heard := netip.MustParseAddrPort("10.9.0.1:7720")
	queried := netip.MustParseAddrPort("10.9.0.2:7720")
	m := relay.Message{
		Kind: relay.NotOwned,
		Key:  flowOne,
	}
	receive(c, 0, heard, m)
	receive(c, 0, departed, m)
	c.agent(queried)
	before := len(c.agents)
	for now := TickTime; now < c.MaxFlowAge; now += TickTime {
		c.Update(now, Tick{})
	}
	is.Equal(len(c.agents), before)
	for now := c.MaxFlowAge; now < c.MaxFlowAge+2*sweepInterval; now += TickTime {
		c.Update(now, Tick{})
	}
	is.Equal(len(c.agents), before-2)
	is.Equal(len(c.agentOrder), len(c.agents))
	for _, a := range c.agentOrder {
		is.True(c.agents[a] != nil)
		is.True(a != heard && a != queried)
	}
	is.True(c.agents[departed] != nil)
}
