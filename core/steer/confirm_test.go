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

// confirmTime is a time after the SYNs of synSentToTwo.
const confirmTime = time.Second

// synSentToTwo returns an entry that has sent the SYN of flowOne to two agents.
func synSentToTwo(t *testing.T) (c *Core, first netip.AddrPort, second netip.AddrPort) {
	t.Helper()
	c = newTestCore(6)
	a, _ := synRecipients(c.Update(0, testPacket(1, segment.SYN)))
	b, _ := synRecipients(c.Update(DefaultPolicy().AcceptTime, Tick{}))
	if len(a) != 1 || len(b) != 1 {
		t.Fatalf("%d and %d targets got the SYN", len(a), len(b))
	}

	return c, a[0], b[0]
}

// agentReports gives the entry an agent's message about flowOne.
func agentReports(c *Core, from netip.AddrPort, x relay.Kind) {
	receive(c, confirmTime, from, relay.Message{
		Kind: x,
		Key:  flowOne,
	})
}

// callerSends gives the entry a packet of the caller and returns the agents that get it.
func callerSends(c *Core) []netip.AddrPort {
	return confirmRecipients(c.Update(confirmTime, testPacket(1, segment.ACK)))
}

// agentReturns gives the entry a packet that an agent did not deliver and returns the
// agents that get it.
func agentReturns(c *Core, from netip.AddrPort) []netip.AddrPort {
	p := testPacket(1, segment.ACK)

	return confirmRecipients(c.Update(confirmTime, &AgentMessage{
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

// confirmRecipients returns the agents that get a Confirm.
func confirmRecipients(commands []Command) []netip.AddrPort {
	to := []netip.AddrPort{}
	for _, x := range commands {
		if s, ok := x.(*Send); ok && s.Message.Kind == relay.Confirm {
			to = append(to, s.To)
		}
	}

	return to
}

// Guards against misrouted packets at targets that never got the flow's SYN: their agents
// have restarted since and lost their flow tables. Found by
// TestOpaqueTrialsWithoutHandover, seed 9036.
func TestConfirmGoesToAcceptedOnly(t *testing.T) {
	is := is.New(t)
	c, _, second := synSentToTwo(t)
	agentReports(c, second, relay.Accepted)
	is.Equal(callerSends(c), []netip.AddrPort{second})
}

// Guards against a flow that can't be reached because the Accepted of its target was lost,
// or arrives after the caller's packet.
func TestConfirmWithoutAccepted(t *testing.T) {
	is := is.New(t)
	c, first, second := synSentToTwo(t)
	is.Equal(callerSends(c), []netip.AddrPort{first, second})
	agentReports(c, second, relay.Accepted)
	is.Equal(callerSends(c), []netip.AddrPort{second})
	is.Equal(len(agentReturns(c, first)), 0)
}

// Guards against callers that have to retransmit because only the target that they did not
// choose is known to have answered the SYN: each packet that its agent returns goes to the
// others at once.
func TestConfirmReturnedByOther(t *testing.T) {
	is := is.New(t)
	c, first, second := synSentToTwo(t)
	agentReports(c, first, relay.Accepted)
	is.Equal(callerSends(c), []netip.AddrPort{first})
	is.Equal(callerSends(c), []netip.AddrPort{first})
	is.Equal(agentReturns(c, first), []netip.AddrPort{second})
	is.Equal(callerSends(c), []netip.AddrPort{second})
	is.Equal(agentReturns(c, first), []netip.AddrPort{second})
}

// Guards against a packet that is dropped because the owner of its flow became known while
// another agent had the packet.
func TestConfirmReturnedAfterOwned(t *testing.T) {
	is := is.New(t)
	c, first, second := synSentToTwo(t)
	agentReports(c, first, relay.Accepted)
	is.Equal(callerSends(c), []netip.AddrPort{first})
	agentReports(c, second, relay.Owned)
	is.Equal(agentReturns(c, first), []netip.AddrPort{second})
}

// Guards against a flow that can't be reached because the one target known to have answered
// its SYN has ended: the caller may have chosen another target.
func TestConfirmAcceptedIsGone(t *testing.T) {
	is := is.New(t)
	c, first, second := synSentToTwo(t)
	agentReports(c, first, relay.Accepted)
	receive(c, confirmTime, first, stopMessage(relay.ReasonTargetDown))
	is.Equal(callerSends(c), []netip.AddrPort{second})
}

// Guards against targets that get a packet twice: where both targets answered the SYN, both
// got the packet, and the agent of the one that the caller did not choose returns it.
func TestConfirmOfTwoAccepted(t *testing.T) {
	is := is.New(t)
	c, first, second := synSentToTwo(t)
	agentReports(c, second, relay.Accepted)
	agentReports(c, first, relay.Accepted)
	to := callerSends(c)
	is.Equal(len(to), 2)
	is.True(slices.Contains(to, first))
	is.Equal(len(agentReturns(c, first)), 0)
	is.Equal(callerSends(c), []netip.AddrPort{second})
}

// Guards against a SYN that waits at an agent and takes a slot of its target later, though
// the flow was opened at another target. Found by TestOpaqueEarlyPackets.
func TestConfirmWithdrawsOthers(t *testing.T) {
	is := is.New(t)
	c, first, second := synSentToTwo(t)
	agentReports(c, second, relay.Accepted)
	is.Equal(withdrawRecipients(c.Update(confirmTime, testPacket(1, segment.ACK))), []netip.AddrPort{first})
	is.Equal(len(withdrawRecipients(c.Update(confirmTime, testPacket(1, segment.ACK)))), 0)
}

// withdrawRecipients returns the agents that get a Withdraw.
func withdrawRecipients(commands []Command) []netip.AddrPort {
	to := []netip.AddrPort{}
	for _, x := range commands {
		if s, ok := x.(*Send); ok && s.Message.Kind == relay.Withdraw {
			to = append(to, s.To)
		}
	}

	return to
}
