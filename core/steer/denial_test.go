package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a reset of a flow that another target holds, because the agent that
// answered Owned denies it later. An unsure agent answers Owned if its target did not
// bounce a probe in time, and an entry may still know the owner of an earlier flow with the
// same ports.
func TestDenialByOwnerDoesNotReset(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	first, owner := c.listedOrder[0], c.listedOrder[1]
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	delete(agents.replies, first)
	agents.update(c, TickTime, testPacket(1, segment.ACK))
	receive(c, TickTime, first, relay.Message{
		Kind: relay.Owned,
		Key:  flowOne,
	})
	agents.replies[first] = relay.NotOwned
	agents.replies[owner] = relay.Owned
	agents.owner = owner
	b := bounce(&Send{
		To: first,
		Message: relay.Message{
			Kind:   relay.Deliver,
			Key:    flowOne,
			Packet: []byte{1},
		},
	})
	agents.update(c, 100*time.Millisecond, &b)
	agents.run(c, 100*time.Millisecond, time.Second, true)
	is.Equal(agents.resets, 0)
	is.Equal(agents.delivered, 1)
}
