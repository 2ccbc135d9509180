package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	routedService = "rufdienst"
	otherService  = "archivdienst"
)

// serviceList is the catalog of a test: which service's target is listed at each of the
// addresses of newTestCore, and where the route leads.
type serviceList struct {
	// services holds a name for each address; an address without a target has none.
	services []string
	routeTo  string
	version  uint64
	// starts counts the targets that the list has told, for their IDs.
	starts int
}

// newServiceTest returns a core that lists n targets of routedService.
func newServiceTest(n int) (*Core, *serviceList) {
	l := &serviceList{
		routeTo: routedService,
		version: 1,
	}
	for range n {
		l.services = append(l.services, routedService)
	}
	c := newTestCore(n)
	c.Update(0, l.changed())

	return c, l
}

func (l *serviceList) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 3), byte(i >> 8), byte(i)}), 8080)
}

// changed returns the list as a message to the core. All targets are new ones.
func (l *serviceList) changed() CatalogChanged {
	l.version++
	l.starts++
	s := catalog.State{}
	s.Apply(0, catalog.ConfigChange{
		Config: &catalog.Config{
			Version: l.version,
			Routes: map[netip.AddrPort]catalog.Route{
				testAddress: {
					Address: testAddress,
					Splits: []catalog.Split{
						{
							Service: catalog.ServiceID(l.routeTo),
							Weight:  1,
						},
						{
							Service: catalog.ServiceID("weightless"),
						},
					},
				},
			},
		},
	})
	listing := catalog.Listing{}
	for i, name := range l.services {
		if name == "" {
			continue
		}
		listing.Changes = append(listing.Changes, catalog.TargetChange{
			Target: catalog.Target{
				ID:      fmt.Sprintf("%d-%d", i, l.starts),
				Service: catalog.ServiceID(name),
				Address: l.address(i),
				Zone:    string("abc"[i%3]),
				Slots:   2,
			},
		})
	}
	s.Apply(0, listing)

	return CatalogChanged{
		Snapshot:  s.Snapshot(),
		Confirmed: true,
	}
}

// wrongSYN returns the first message that sends a SYN in another way than as an Open which
// names the service that the route leads to and that is listed at the agent's address. SYNs
// have a packet of one byte here, other packets more.
func (l *serviceList) wrongSYN(c *Core, commands []Command) string {
	for _, x := range commands {
		s, ok := x.(*Send)
		if !ok || len(s.Message.Packet) != 1 {
			continue
		}
		listed := c.listed[s.To]
		if s.Message.Kind != relay.Open || listed == nil || s.Message.Service != catalog.ServiceID(l.routeTo) || listed.Service != s.Message.Service {
			return fmt.Sprintf("%v to %v for service %x", s.Message.Kind, s.To, s.Message.Service)
		}
	}

	return ""
}

// Guards against a SYN that is sent to another service: it waits while no target of its
// service reacts, and the addresses of all of them come to belong to another service
// (docs/incidents/inc-36.md).
func TestWaitingSYNIsNotSentToAnotherService(t *testing.T) {
	is := is.New(t)
	c, l := newServiceTest(3)
	now := time.Duration(0)
	c.Update(now, synPacket(0))
	for now < 300*time.Millisecond {
		now += TickTime
		is.Equal(l.wrongSYN(c, c.Update(now, Tick{})), "")
	}
	l.services = []string{otherService, otherService, otherService}
	c.Update(now, l.changed())
	for now < segment.ConnectTimeout {
		now += TickTime
		is.Equal(l.wrongSYN(c, c.Update(now, Tick{})), "")
	}
	is.Equal(l.wrongSYN(c, c.Update(now, synPacket(2))), "")
}

// Guards against a SYN that is sent to a service which its route no longer leads to: the new
// one has no target.
func TestWaitingSYNFollowsItsRoute(t *testing.T) {
	is := is.New(t)
	c, l := newServiceTest(3)
	now := time.Duration(0)
	c.Update(now, synPacket(0))
	for now < 300*time.Millisecond {
		now += TickTime
		c.Update(now, Tick{})
	}
	l.routeTo = otherService
	c.Update(now, l.changed())
	for now < segment.ConnectTimeout {
		now += TickTime
		is.Equal(l.wrongSYN(c, c.Update(now, Tick{})), "")
	}
}

// Guards against a SYN that an entry goes on sending long after its caller has given up.
func TestSYNWaitsNoLongerThanItsCaller(t *testing.T) {
	is := is.New(t)
	c, _ := newServiceTest(3)
	now := time.Duration(0)
	c.Update(now, synPacket(0))
	for now < 3*segment.ConnectTimeout {
		now += TickTime
		to, _ := synRecipients(c.Update(now, Tick{}))
		is.True(len(to) == 0 || now < segment.ConnectTimeout)
	}
}
