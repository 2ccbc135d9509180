package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// acceptSYN sends a SYN of flowOne, lets the target that gets it answer, and returns the
// message of its agent.
func acceptSYN(t *testing.T, c *Core, now time.Duration) *AgentMessage {
	t.Helper()
	to, _ := synRecipients(c.Update(now, testPacket(1, segment.SYN)))
	if len(to) != 1 {
		t.Fatalf("%d targets got the SYN", len(to))
	}
	m := &AgentMessage{
		From: to[0],
		Message: relay.Message{
			Kind: relay.Accepted,
			Key:  flowOne,
		},
	}
	c.Update(now, m)

	return m
}

// Guards against a reset of a new flow because no target holds an earlier flow with the
// same ports, for which a search was in progress when the SYN came.
func TestSearchEndsAtSYN(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	agents.run(c, TickTime, 100*time.Millisecond, true, TickTime)
	is.Equal(len(c.searches), 1)
	target := acceptSYN(t, c, 100*time.Millisecond)
	is.Equal(len(c.searches), 0)
	agents.replies[c.listedOrder[0]] = relay.NotOwned
	agents.replies[target.From] = relay.Owned
	agents.owner = target.From
	agents.run(c, 120*time.Millisecond, 2*time.Second, true, 160*time.Millisecond, 500*time.Millisecond)
	is.Equal(agents.resets, 0)
	is.Equal(len(c.flows), 1)
	is.Equal(c.flows[flowOne].synsSeen, uint32(1))
}

// Guards against packets of a new flow that go to the target of an earlier flow with the
// same ports: its agent's answer to the search came after the SYN.
func TestLateAnswerDoesNotSetOwner(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	c.Update(TickTime, testPacket(1, segment.ACK))
	target := acceptSYN(t, c, 2*TickTime)
	for _, a := range c.listedOrder {
		if a != target.From {
			receive(c, 3*TickTime, a, relay.Message{
				Kind: relay.Owned,
				Key:  flowOne,
			})
		}
	}
	is.True(!c.flows[flowOne].owner.IsValid())
	receive(c, 3*TickTime, target.From, relay.Message{
		Kind: relay.Owned,
		Key:  flowOne,
	})
	is.Equal(c.flows[flowOne].owner, target.From)
}
