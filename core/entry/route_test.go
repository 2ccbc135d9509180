package entry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/entry"
	"ibisfold.example/core/keyring"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

const second = time.Second

func newKeys(t testing.TB) *keyring.Keyring {
	t.Helper()
	r, err := keyring.New([]keyring.Key{
		{
			ID:     1,
			Secret: "00112233445566778899aabbccddeeff",
		},
	})
	if err != nil {
		t.Fatal(err)
	}

	return r
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(i >> 8), byte(i)}), 80)
}

// newState returns a state whose services have equal numbers of targets, spread
// evenly over the zones.
func newState(services, targets, zones int) *ticket.State {
	t := &ticket.Ticket{
		Number: 1,
		Version: ticket.Version{
			Number: 1,
		},
	}
	for i := range zones {
		t.Zones = append(t.Zones, ticket.Zone{
			Name:      fmt.Sprint("zone-", i),
			InService: true,
		})
	}
	for i := range services {
		t.Services = append(t.Services, ticket.Service{
			Name:      fmt.Sprint("service-", i),
			Addresses: []netip.AddrPort{address(i)},
		})
	}
	for i := range targets {
		t.Targets = append(t.Targets, ticket.Target{
			Name:    fmt.Sprint("target-", i),
			Service: fmt.Sprint("service-", i%services),
			Zone:    fmt.Sprint("zone-", i%zones),
			Agent:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 7100),
			Slots:   2,
		})
	}
	s := &ticket.State{}
	s.Merge(t)

	return s
}

func open(flow uint64) *packet.Packet {
	return &packet.Packet{
		Kind:    packet.Open,
		Service: address(0),
		Flow:    flow,
	}
}

// Guards against forwarding with an outdated view after a pause.
func TestRouteDropsWithoutLease(t *testing.T) {
	is := is.New(t)
	n := entry.Build(newState(1, 7, 3), nil).Renew(2 * second)

	is.Equal(entry.Decide(n, 1*second, open(1)).Action, entry.Forward)
	is.Equal(entry.Decide(n, 2*second, open(1)).Reason, entry.ReasonUnconfirmed)
}

// Guards against an entry that needs state per flow or configuration to route an
// established flow: the token alone has to be enough.
func TestRouteByTokenNeedsNoState(t *testing.T) {
	is := is.New(t)
	keys := newKeys(t)
	p := &packet.Packet{
		Kind: packet.Request,
		Flow: 9,
		Token: packet.Token{
			Agent:       address(77),
			Zone:        ticket.ID("zone-0"),
			Incarnation: 5,
		},
	}
	p.Token.Sign(keys, p.Flow)
	empty := entry.Build(&ticket.State{}, nil).Renew(second)

	d := entry.Route(empty, keys, 0, p)
	is.Equal(d.Action, entry.Forward)
	is.Equal(d.Agent, address(77))
	is.Equal(d.Incarnation, uint64(5))

	p.Flow = 10
	is.Equal(entry.Route(empty, keys, 0, p).Reason, entry.ReasonToken)
}

// Guards against packets that are forwarded to a zone that was taken out of
// service.
func TestRouteResetsFlowsOfZoneOut(t *testing.T) {
	is := is.New(t)
	s := newState(1, 6, 2)
	s.Merge(&ticket.Ticket{
		Number: 2,
		Version: ticket.Version{
			Number: 2,
		},
		Zones: []ticket.Zone{
			{
				Name: "zone-0",
			},
		},
	})
	n := entry.Build(s, nil).Renew(second)

	for f := range uint64(1000) {
		d := entry.Decide(n, 0, open(f))
		is.Equal(d.Agent.Addr().As4()[3]%2, byte(1)) // a target of zone-1
	}
	p := &packet.Packet{
		Kind: packet.Request,
		Token: packet.Token{
			Zone: ticket.ID("zone-0"),
		},
	}
	is.Equal(entry.Decide(n, 0, p).Kind, packet.Reset)
}

// Guards against moving more new flows than the share of the target that left.
func TestOpenMovesOnlyFlowsOfLeavingTarget(t *testing.T) {
	is := is.New(t)
	s := newState(1, 7, 1)
	before := entry.Build(s, nil).Renew(second)
	s.Merge(&ticket.Ticket{
		Number: 2,
		Version: ticket.Version{
			Number: 2,
		},
		Removed: []ticket.Removal{
			{
				Target: "target-3",
			},
		},
	})
	after := entry.Build(s, nil).Renew(second)

	for f := range uint64(10_000) {
		was := entry.Decide(before, 0, open(f))
		if was.Target != ticket.ID("target-3") {
			is.Equal(entry.Decide(after, 0, open(f)).Target, was.Target)
		}
	}
}

// Guards against attempts of one Open that all go to the same dead agent.
func TestOpenAttemptsReachOtherTargets(t *testing.T) {
	is := is.New(t)
	n := entry.Build(newState(1, 3, 1), nil).Renew(second)
	seen := map[uint64]bool{}
	for a := range uint32(3) {
		p := open(4)
		p.Attempt = a
		seen[entry.Decide(n, 0, p).Target] = true
	}
	is.Equal(len(seen), 3)
}

// Guards against resetting flows on suspicion alone, although their agent is only
// paused or partitioned, and against flows that are never reset although their
// agent is gone.
func TestRequestToSuspectedAgent(t *testing.T) {
	known := ticket.ID("target-1")
	for _, c := range []struct {
		name    string
		target  uint64
		suspect uint64
		attempt uint32
		action  entry.Action
		kind    packet.Kind
	}{
		{"early attempt", known, 5, 5, entry.Forward, 0},
		{"suspected start", known, 5, 6, entry.Reply, packet.Refused},
		{"later start", known, 6, 6, entry.Reply, packet.Reset},
		{"earlier start", known, 4, 6, entry.Forward, 0},
		{"target removed", 8, 5, 6, entry.Reply, packet.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := entry.Build(newState(1, 3, 1), map[uint64]uint64{c.target: c.suspect}).Renew(second)
			d := entry.Decide(n, 0, &packet.Packet{
				Kind:    packet.Request,
				Attempt: c.attempt,
				Token: packet.Token{
					Target:      c.target,
					Incarnation: 5,
				},
			})
			is.Equal(d.Action, c.action)
			is.Equal(d.Kind, c.kind)
			if c.action == entry.Reply {
				is.Equal(d.Reason, entry.ReasonAgentDown)
				is.Equal(d.Status, packet.StatusOutcomeUnknown)
			}
		})
	}
}
