package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a flow that is lost because a message about it could not be handled: its next
// packet finds the owner.
func TestForgottenFlowIsSearchedFor(t *testing.T) {
	is := is.New(t)
	c := newTestCore(3)
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	agents.owner = c.listedOrder[0]
	agents.replies[agents.owner] = relay.Owned
	agents.update(c, 0, testPacket(1, segment.ACK))
	is.Equal(agents.delivered, 1)
	c.Forget(flowOne)
	is.Equal(c.Flows(), 0)
	agents.update(c, time.Second, testPacket(1, segment.ACK))
	agents.run(c, time.Second+TickTime, 2*time.Second, true)
	is.Equal(agents.delivered, 2)
	is.Equal(agents.resets, 0)
}
