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

// otherServices are two services that no configuration of the tests declares. Their IDs order
// them differently beside that of the declared one.
var otherServices = []string{"node-exporter", "exporter"}

// declaredList returns the list of c, whose configuration declares the service of its targets
// if declared is set, with more targets beside them.
func declaredList(c *Core, declared bool, more ...catalog.Member) CatalogChanged {
	n := *newTestCore(len(c.listedOrder)).snapshot
	config := *n.Config
	n.Config = &config
	if declared {
		if err := config.AddService(catalog.Service{
			Name: "rufdienst",
		}); err != nil {
			panic(err)
		}
	}
	n.Groups = map[uint64][]catalog.Member{}
	for service, group := range newTestCore(len(c.listedOrder)).snapshot.Groups {
		n.Groups[service] = slices.Clone(group)
	}
	for _, m := range more {
		n.Groups[m.Service] = append(n.Groups[m.Service], m)
	}

	return CatalogChanged{
		Snapshot:  &n,
		Confirmed: true,
	}
}

// exporterBeside returns the entry that another writer made for the VM of an agent.
func exporterBeside(agent netip.AddrPort, service string, born int64) catalog.Member {
	return catalog.Member{
		Target: catalog.Target{
			ID:      "exporter",
			Service: catalog.ServiceID(service),
			Address: netip.AddrPortFrom(agent.Addr(), 9100),
			Zone:    "a",
			Born:    born,
		},
	}
}

// lookup returns the query that the entry sends to an agent at a time.
func lookup(c *Core, now time.Duration, agent netip.AddrPort) relay.Message {
	c.commands = c.commands[:0]
	c.sendCount = 0
	c.query(now, agent, flowOne)

	return c.commands[len(c.commands)-1].(*Send).Message
}

// Guards against an agent that is told the start of another writer's entry on its VM as that of
// its target, takes the target for a new one and denies the flows that it holds (review/7).
func TestAgentIsToldStartOfItsTarget(t *testing.T) {
	for _, service := range otherServices {
		is := is.New(t)
		c := newTestCore(3)
		agent := c.listedOrder[0]
		c.Update(time.Second, declaredList(c, true, exporterBeside(agent, service, 7000)))
		m := lookup(c, 2*time.Second, agent)
		is.Equal(m.Service, catalog.ServiceID("rufdienst"))
		is.Equal(m.Born, int64(0))
		is.Equal(m.Age, uint16(2000))
		is.Equal(len(c.listedOrder), 3)

		// The other writer starts again, then leaves.
		c.Update(3*time.Second, declaredList(c, true, exporterBeside(agent, service, 9000)))
		is.Equal(lookup(c, 4*time.Second, agent).Age, uint16(4000))
		c.Update(5*time.Second, declaredList(c, true))
		is.Equal(lookup(c, 6*time.Second, agent).Age, uint16(6000))
	}
}

// Guards against an agent that can't tell whose start it is told: if the configuration declares
// neither service, the entry doesn't know which target the agent has, and names the one it tells.
func TestStartNamesItsService(t *testing.T) {
	is := is.New(t)
	c := newTestCore(3)
	agent := c.listedOrder[0]
	c.Update(time.Second, declaredList(c, false, exporterBeside(agent, otherServices[0], 7000)))
	m := lookup(c, 2*time.Second, agent)
	is.Equal(m.Service, catalog.ServiceID(otherServices[0]))
	is.Equal(m.Born, int64(7000))
	is.Equal(m.Age, uint16(1000))
}

// Guards against new flows that are refused, and flows that an agent gives up early at its stop,
// because another writer's entry on the VM is draining.
func TestEntryOfOtherWriterDoesNotDrainTarget(t *testing.T) {
	for _, service := range otherServices {
		is := is.New(t)
		c := newTestCore(1)
		agent := c.listedOrder[0]
		other := exporterBeside(agent, service, 7000)
		other.Draining = true
		c.Update(time.Second, declaredList(c, true, other))
		c.Update(time.Second, testPacket(1, segment.SYN))
		_, accepts := c.acceptor(flowOne, agent)
		is.True(accepts)
		is.True(!c.agent(agent).leaving)
	}
}

// Guards against an agent that is not told that its target has left, because another writer's
// entry on the VM is still listed.
func TestTargetLeavesBesideEntryOfOtherWriter(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	agent := c.listedOrder[0]
	u := declaredList(c, true, exporterBeside(agent, otherServices[0], 7000))
	c.Update(time.Second, u)
	gone := catalog.ServiceID("rufdienst")
	u.Snapshot.Departed = u.Snapshot.Groups[gone]
	delete(u.Snapshot.Groups, gone)
	c.Update(2*time.Second, u)
	is.True(c.agent(agent).leaving)
	is.Equal(lookup(c, 3*time.Second, agent).Service, gone)
}
