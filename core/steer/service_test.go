package steer

import (
	"fmt"
	"math/rand/v2"
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

// allTriedTime is how long after its first SYN a flow has tried three targets that do not react.
const allTriedTime = 300 * time.Millisecond

// runTicks lets time pass and returns what wrongSYN finds first.
func (l *serviceList) runTicks(c *Core, from, to time.Duration) string {
	for now := from + TickTime; now <= to; now += TickTime {
		if wrong := l.wrongSYN(c, c.Update(now, Tick{})); wrong != "" {
			return wrong
		}
	}

	return ""
}

// ackPacket returns a packet with data of the flow of synPacket.
func ackPacket() *CallerPacket {
	return &CallerPacket{
		Segment: segment.Segment{
			Key:   testKey,
			Flags: segment.ACK,
			Seq:   100,
			Ack:   7,
			Len:   1,
		},
		Packet: []byte{1, 2},
	}
}

// Guards against a SYN that is sent to another service: it waits while no target of its
// service reacts, and the addresses of all of them come to belong to another service
// (docs/incidents/inc-36.md).
func TestWaitingSYNIsNotSentToAnotherService(t *testing.T) {
	is := is.New(t)
	c, l := newServiceTest(3)
	c.Update(0, synPacket(0))
	is.Equal(l.runTicks(c, 0, allTriedTime), "")
	l.services = []string{otherService, otherService, otherService}
	c.Update(allTriedTime, l.changed())
	is.Equal(l.runTicks(c, allTriedTime, segment.ConnectTimeout), "")
	is.Equal(l.wrongSYN(c, c.Update(segment.ConnectTimeout, synPacket(2))), "")
}

// Guards against a SYN that is sent to a service which its route no longer leads to: the new
// one has no target.
func TestWaitingSYNFollowsItsRoute(t *testing.T) {
	is := is.New(t)
	c, l := newServiceTest(3)
	c.Update(0, synPacket(0))
	is.Equal(l.runTicks(c, 0, allTriedTime), "")
	l.routeTo = otherService
	c.Update(allTriedTime, l.changed())
	is.Equal(l.runTicks(c, allTriedTime, segment.ConnectTimeout), "")
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

// openTestFlow opens the flow of synPacket at the target that the entry chooses, and returns
// its agent.
func openTestFlow(c *Core, now time.Duration) netip.AddrPort {
	to, _ := synRecipients(c.Update(now, synPacket(0)))
	for _, kind := range []relay.Kind{relay.Accepted, relay.Owned} {
		receive(c, now, to[0], relay.Message{
			Kind: kind,
			Key:  testKey,
		})
		c.Update(now, ackPacket())
	}

	return to[0]
}

// Guards against a SYN that is sent as a packet of an earlier flow with the same ports to
// that flow's agent, which does not check the service, although the address has come to
// belong to another service.
func TestSYNOfUsedPortIsPlaced(t *testing.T) {
	is := is.New(t)
	c, l := newServiceTest(3)
	owner := openTestFlow(c, 0)
	for i := range l.services {
		if c.agentOf(&catalog.Member{
			Target: catalog.Target{
				Address: l.address(i),
			},
		}) == owner {
			l.services[i] = otherService
		}
	}
	now := 5 * time.Second
	c.Update(now, l.changed())
	commands := c.Update(now, synPacket(0))
	is.Equal(l.wrongSYN(c, commands), "")
	to, _ := synRecipients(commands)
	is.Equal(len(to), 1)
}

// Guards against a caller that waits in vain when it uses the port of an open flow, or of one
// that no target has answered, for a new flow.
func TestUsedPortIsServed(t *testing.T) {
	is := is.New(t)
	c, l := newServiceTest(3)
	owner := openTestFlow(c, 0)
	c.Update(5*time.Second, Tick{})
	commands := c.Update(5*time.Second, synPacket(0))
	is.Equal(l.wrongSYN(c, commands), "")
	to, _ := synRecipients(commands)
	is.Equal(to, []netip.AddrPort{owner})

	c, l = newServiceTest(3)
	c.Update(0, synPacket(0))
	c.Update(5*time.Second, Tick{})
	commands = c.Update(5*time.Second, synPacket(0))
	is.Equal(l.wrongSYN(c, commands), "")
	to, _ = synRecipients(commands)
	is.Equal(len(to), 1)
	is.Equal(commands[len(commands)-1].(*Send).Message.Age, uint16(0))
}

// Guards against any way by which a SYN gets to a service that its route does not lead to:
// targets of different services take one another's addresses, routes change, and agents
// refuse, accept, own, fall silent and stop, in any order.
func TestSYNsGoToServiceOfRoute(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 36))
		c, l := newServiceTest(4)
		now := time.Duration(0)
		for step := range 300 {
			now += time.Duration(random.Int64N(int64(80 * time.Millisecond)))
			from := c.agentOf(&catalog.Member{
				Target: catalog.Target{
					Address: l.address(random.IntN(4)),
				},
			})
			m := Message(Tick{})
			switch random.IntN(9) {
			case 0:
				l.services[random.IntN(4)] = []string{routedService, otherService, ""}[random.IntN(3)]
				m = l.changed()
			case 1:
				l.routeTo = []string{routedService, otherService}[random.IntN(2)]
				m = l.changed()
			case 2, 3:
				m = synPacket(uint32(random.IntN(3)))
			case 4:
				m = ackPacket()
			case 5:
				m = refusal(from)
			case 6:
				m = &AgentMessage{
					From: from,
					Message: relay.Message{
						Kind: []relay.Kind{relay.Accepted, relay.Owned, relay.Unsure, relay.NotOwned, relay.Stopping}[random.IntN(5)],
						Key:  testKey,
					},
				}
			}
			if wrong := l.wrongSYN(c, c.Update(now, m)); wrong != "" {
				t.Fatalf("seed %d, step %d, %T: %s", seed, step, m, wrong)
			}
		}
	}
}
