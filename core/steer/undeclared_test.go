package steer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
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
}
