package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against resets of living flows by an entry that learns of an agent's planned stop
// from something else than the announcement, or that hears the agent once more after that:
// the silence that follows is no failure. Issue 39, FLOW.
func TestAnyMessageAfterStopTellsIt(t *testing.T) {
	owned := relay.Message{
		Kind:     relay.Owned,
		Key:      flowOne,
		Stopping: true,
	}
	part := relay.Message{
		Kind:     relay.Handover,
		Stopping: true,
		Table:    &relay.Table{},
	}
	for _, messages := range [][]relay.Message{
		{owned},
		{stopMessage(relay.ReasonNone), owned},
		{stopMessage(relay.ReasonTargetDown), owned},
		{
			{
				Kind: relay.Owned,
				Key:  flowOne,
			},
			part,
		},
	} {
		is := is.New(t)
		c := newTestCore(6)
		owner := c.listedOrder[0]
		agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
		agents.update(c, 0, testPacket(1, segment.ACK))
		now := time.Millisecond
		for _, m := range messages {
			receive(c, now, owner, m)
			now += 2 * maxMessageDelay
		}
		now = now.Truncate(TickTime)
		agents.run(c, now, now+time.Second, true, now+TickTime, now+10*TickTime)
		is.True(c.inPlannedStop(now+time.Second, c.agents[owner]))
		is.Equal(agents.resets, 0)
		receive(c, now+time.Second, owner, relay.Message{
			Kind: relay.Owned,
		})
		is.True(!c.inPlannedStop(now+time.Second, c.agents[owner]))
	}
}
