package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

var testKey = segment.KeyOf(netip.MustParseAddrPort("100.64.0.7:40001"), testAddress)

// synPacket returns the caller's SYN that follows a number of copies.
func synPacket(copies uint32) *CallerPacket {
	return &CallerPacket{
		Segment: segment.Segment{
			Key:   testKey,
			Flags: segment.SYN,
			Ack:   copies,
		},
		Packet: []byte{1},
	}
}

// refusal returns an agent's message that its target does not accept the SYN.
func refusal(from netip.AddrPort) *AgentMessage {
	return &AgentMessage{
		From: from,
		Message: relay.Message{
			Kind:   relay.Returned,
			Reason: relay.ReasonFull,
			Key:    testKey,
			Packet: []byte{1},
		},
		Segment: segment.Segment{
			Key:   testKey,
			Flags: segment.SYN,
		},
	}
}

// synRecipients returns the agents that get the SYN, and whether the flow is reset.
func synRecipients(commands []Command) (to []netip.AddrPort, reset bool) {
	for _, c := range commands {
		switch c := c.(type) {
		case *Send:
			if c.Message.Kind == relay.Open {
				to = append(to, c.To)
			}
		case Reset:
			reset = true
		}
	}

	return to, reset
}

// Guards against callers that wait although every target has refused their flow.
func TestAllRefuse(t *testing.T) {
	is := is.New(t)
	c := newTestCore(2)
	to, _ := synRecipients(c.Update(0, synPacket(0)))
	is.Equal(len(to), 1)
	to, reset := synRecipients(c.Update(time.Millisecond, refusal(to[0])))
	is.Equal(len(to), 1)
	is.True(!reset)
	_, reset = synRecipients(c.Update(2*time.Millisecond, refusal(to[0])))
	is.True(reset)
}

// Guards against a reset of a flow that a slow target is about to open, because the targets
// that were tried after it refused the flow.
func TestSlowTargetMayStillOpen(t *testing.T) {
	is := is.New(t)
	c := newTestCore(2)
	first, _ := synRecipients(c.Update(0, synPacket(0)))
	second, _ := synRecipients(c.Update(DefaultPolicy().AcceptTime, Tick{}))
	is.Equal(len(second), 1)
	_, reset := synRecipients(c.Update(DefaultPolicy().AcceptTime+time.Millisecond, refusal(second[0])))
	is.True(!reset)
	_, reset = synRecipients(c.Update(DefaultPolicy().AcceptTime+2*time.Millisecond, refusal(first[0])))
	is.True(reset)
}

// Guards against a reset by an entry that only gets a later copy of the SYN: the first copy
// may have opened the flow through another entry.
func TestLaterCopyIsNotReset(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	to, _ := synRecipients(c.Update(0, synPacket(1)))
	is.Equal(len(to), 1)
	_, reset := synRecipients(c.Update(time.Millisecond, refusal(to[0])))
	is.True(!reset)
}

// Guards against a target that gets no flows any more because the last message of its
// agent, long ago, reported it as unstable. Found by TestOpaqueFuzz, seed 1008 of the messy
// kind.
func TestUnstableTargetReturns(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	to, _ := synRecipients(c.Update(0, synPacket(0)))
	k := testKey
	k.CallerPort++
	c.Update(time.Millisecond, &AgentMessage{
		From: to[0],
		Message: relay.Message{
			Kind:     relay.Accepted,
			Key:      testKey,
			Unstable: true,
		},
	})
	m := &c.snapshot.Groups[c.routeOf(k).Splits[0].Service][0]
	is.True(c.score(2*time.Millisecond, m, c.agent(to[0])) >= DefaultPolicy().UnstablePenalty)
	is.True(c.score(maxUnstableAge+2*time.Millisecond, m, c.agent(to[0])) < DefaultPolicy().UnstablePenalty)
}

// Guards against a target that gets no flows any more because its agent announced a stop
// and has had no occasion since its restart to send a message. Found by TestOpaqueFuzz,
// seed 1242 of the messy kind.
func TestStoppedAgentReturns(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	to, _ := synRecipients(c.Update(0, synPacket(0)))
	c.Update(time.Millisecond, &AgentMessage{
		From: to[0],
		Message: relay.Message{
			Kind: relay.Stopping,
		},
	})
	is.True(c.avoided(2*time.Millisecond, c.agent(to[0])))
	is.True(!c.avoided(c.Policy.StopTime+2*time.Millisecond, c.agent(to[0])))
}

// Guards against targets that get no flows while others are overloaded, because their list
// entries had expired in an outage and returned later than those of the others. All entries
// start during the outage. Found by score on eisruf-lb, scale-1.
func TestTargetsComeBackAfterOutage(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	n := newTestCore(3).snapshot
	c.Update(time.Second, CatalogChanged{
		Snapshot: n,
		Wall:     time.Hour.Milliseconds(),
	})
	for _, a := range c.listedOrder {
		is.Equal(c.agent(a).spreadUntil, time.Duration(0))
	}
}

// Guards against a reset of a flow that a copy of its SYN has opened through another entry:
// the first copy came here, waited at an agent, and was returned a second later.
func TestRefusedFlowMayBeOpenElsewhere(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	to, _ := synRecipients(c.Update(0, synPacket(0)))
	for now := TickTime; now < 900*time.Millisecond; now += TickTime {
		c.Update(now, Tick{})
	}
	// Copies at 200 and 600 ms went to another entry.
	_, reset := synRecipients(c.Update(900*time.Millisecond, refusal(to[0])))
	is.True(!reset)
}

// Guards against callers that wait although every target has refused their flow, and all
// copies of its SYN came here.
func TestRefusalAfterCopyIsReset(t *testing.T) {
	for _, copied := range []time.Duration{TickTime, 200 * time.Millisecond} {
		is := is.New(t)
		c := newTestCore(1)
		to, _ := synRecipients(c.Update(0, synPacket(0)))
		c.Update(copied, synPacket(1))
		_, reset := synRecipients(c.Update(300*time.Millisecond, refusal(to[0])))
		is.True(reset)
	}
}

// Guards against a reset by an entry whose list has no target, though the copy of the SYN
// shows that an earlier one went elsewhere and may have opened the flow.
func TestCopyWithoutTargetIsNotReset(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	updateList(c, 0, true, c.listedOrder[0])
	_, reset := synRecipients(c.Update(time.Millisecond, synPacket(1)))
	is.True(!reset)
}

// Guards against a reset by an entry that has no route for a copy of a SYN: an earlier one
// may have opened the flow through another entry.
func TestCopyWithoutRouteIsNotReset(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	n := *c.snapshot
	config := *n.Config
	config.Version++
	config.Routes = map[netip.AddrPort]catalog.Route{}
	n.Config = &config
	c.Update(0, CatalogChanged{
		Snapshot:  &n,
		Confirmed: true,
	})
	_, reset := synRecipients(c.Update(time.Millisecond, synPacket(1)))
	is.True(!reset)
}
