package steer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// confirmTime is a moment after the SYNs of triedByTwo.
const confirmTime = time.Second

// triedByTwo returns an entry that has sent the SYN of flowOne to two agents.
func triedByTwo(t *testing.T) (c *Core, first netip.AddrPort, second netip.AddrPort) {
	t.Helper()
	c = newTestCore(6)
	a, _ := opened(c.Update(0, benchPacket(1, segment.SYN)))
	b, _ := opened(c.Update(DefaultPolicy().AcceptTime, Tick{}))
	if len(a) != 1 || len(b) != 1 {
		t.Fatalf("%d and %d targets got the SYN", len(a), len(b))
	}

	return c, a[0], b[0]
}

// says passes what an agent says of flowOne to the entry.
func says(c *Core, from netip.AddrPort, x relay.Kind) {
	hears(c, confirmTime, from, relay.Message{
		Kind: x,
		Key:  flowOne,
	})
}

// callerSends returns the agents that get the caller's packet.
func callerSends(c *Core) []netip.AddrPort {
	return confirmed(c.Update(confirmTime, benchPacket(1, segment.ACK)))
}

// returns returns the agents that get a packet that an agent does not deliver.
func returns(c *Core, from netip.AddrPort) []netip.AddrPort {
	p := benchPacket(1, segment.ACK)

	return confirmed(c.Update(confirmTime, &AgentMessage{
		From: from,
		Message: relay.Message{
			Kind:   relay.Returned,
			Reason: relay.ReasonNotHeld,
			Key:    flowOne,
			Packet: p.Packet,
		},
		Segment: p.Segment,
	}))
}

// confirmed returns the agents that get a packet to confirm the flow.
func confirmed(commands []Command) []netip.AddrPort {
	to := []netip.AddrPort{}
	for _, x := range commands {
		if s, ok := x.(*Send); ok && s.Message.Kind == relay.Confirm {
			to = append(to, s.To)
		}
	}

	return to
}

// Guards against stray packets at targets that never got the flow's SYN: their agents were
// started again since and lost their tables. Found by TestOpaqueTrialsWithoutHandover, seed
// 9036.
func TestConfirmGoesToAcceptedOnly(t *testing.T) {
	is := is.New(t)
	c, _, second := triedByTwo(t)
	says(c, second, relay.Accepted)
	is.Equal(callerSends(c), []netip.AddrPort{second})
}

// Guards against a flow that is out of reach because the message that its target answered
// the SYN was lost, or comes after the caller's packet.
func TestConfirmWithoutAccepted(t *testing.T) {
	is := is.New(t)
	c, first, second := triedByTwo(t)
	is.Equal(callerSends(c), []netip.AddrPort{first, second})
	says(c, second, relay.Accepted)
	is.Equal(callerSends(c), []netip.AddrPort{second})
	is.Equal(len(returns(c, first)), 0)
}

// Guards against callers that wait for their own copy because only the target that they
// did not choose is known to have answered the SYN: each packet that its agent returns goes
// to the others at once.
func TestConfirmReturnedByOther(t *testing.T) {
	is := is.New(t)
	c, first, second := triedByTwo(t)
	says(c, first, relay.Accepted)
	is.Equal(callerSends(c), []netip.AddrPort{first})
	is.Equal(callerSends(c), []netip.AddrPort{first})
	is.Equal(returns(c, first), []netip.AddrPort{second})
	is.Equal(callerSends(c), []netip.AddrPort{second})
	is.Equal(returns(c, first), []netip.AddrPort{second})
}

// Guards against a packet that is dropped because its owner became known while another
// agent had it.
func TestConfirmReturnedAfterOwned(t *testing.T) {
	is := is.New(t)
	c, first, second := triedByTwo(t)
	says(c, first, relay.Accepted)
	is.Equal(callerSends(c), []netip.AddrPort{first})
	says(c, second, relay.Owned)
	is.Equal(returns(c, first), []netip.AddrPort{second})
}

// Guards against a flow that is out of reach because the one target known to have answered
// its SYN is gone: the caller may have chosen another.
func TestConfirmAcceptedIsGone(t *testing.T) {
	is := is.New(t)
	c, first, second := triedByTwo(t)
	says(c, first, relay.Accepted)
	hears(c, confirmTime, first, stopping(relay.ReasonTargetDown))
	is.Equal(callerSends(c), []netip.AddrPort{second})
}

// Guards against packets that targets get twice: where both answered the SYN, both got the
// packet, and the one that the caller did not choose returns it.
func TestConfirmOfTwoAccepted(t *testing.T) {
	is := is.New(t)
	c, first, second := triedByTwo(t)
	says(c, second, relay.Accepted)
	says(c, first, relay.Accepted)
	to := callerSends(c)
	is.Equal(len(to), 2)
	is.True(slices.Contains(to, first))
	is.Equal(len(returns(c, first)), 0)
	is.Equal(callerSends(c), []netip.AddrPort{second})
}

// Guards against a SYN that waits at an agent, and takes a place of its target later, though
// the flow was opened elsewhere. Found by TestOpaqueEarlyPackets.
func TestConfirmWithdrawsOthers(t *testing.T) {
	is := is.New(t)
	c, first, second := triedByTwo(t)
	says(c, second, relay.Accepted)
	is.Equal(withdrawn(c.Update(confirmTime, benchPacket(1, segment.ACK))), []netip.AddrPort{first})
	is.Equal(len(withdrawn(c.Update(confirmTime, benchPacket(1, segment.ACK)))), 0)
}

// withdrawn returns the agents that are told that another target answered the SYN.
func withdrawn(commands []Command) []netip.AddrPort {
	to := []netip.AddrPort{}
	for _, x := range commands {
		if s, ok := x.(*Send); ok && s.Message.Kind == relay.Withdraw {
			to = append(to, s.To)
		}
	}

	return to
}
