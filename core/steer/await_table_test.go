package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// Guards against needless probes at a target whose agent, back from a planned stop,
// answered Unsure before its flow table arrived. If no table arrives, the target is probed
// soon after.
func TestProbeWaitsForTable(t *testing.T) {
	is := is.New(t)
	const downtime = 500 * time.Millisecond
	for _, restored := range []bool{true, false} {
		c := newTestCore(6)
		agents := newTestAgents(c.listedOrder, relay.NotOwned)
		agents.owner = c.listedOrder[1]
		delete(agents.replies, agents.owner)
		receive(c, 0, agents.owner, stopMessage(relay.ReasonNone))
		agents.run(c, TickTime, downtime, true, downtime-100*time.Millisecond)
		agents.replies[agents.owner] = relay.Unsure
		agents.run(c, downtime, downtime+restoreWindow, true)
		is.Equal(agents.probes, 0)
		is.Equal(agents.delivered, 0)
		if restored {
			agents.update(c, downtime+restoreWindow, &AgentMessage{
				From: agents.owner,
				Message: relay.Message{
					Kind: relay.Owned,
					Key:  flowOne,
				},
			})
			is.Equal(agents.probes, 0)
		} else {
			agents.run(c, downtime+restoreWindow, downtime+restoreWindow+80*time.Millisecond, true)
			is.Equal(agents.probes, 1)
		}
		is.Equal(agents.delivered, 1)
	}
}

// Guards against searches that wait for a flow table that can't arrive, because the agent
// was killed or stopped too long ago.
func TestProbeDoesNotWaitAfterKill(t *testing.T) {
	is := is.New(t)
	for _, announced := range []bool{false, true} {
		c := newTestCore(6)
		agents := newTestAgents(c.listedOrder, relay.NotOwned)
		agents.owner = c.listedOrder[1]
		agents.replies[agents.owner] = relay.Unsure
		now := TickTime
		if announced {
			receive(c, now, agents.owner, stopMessage(relay.ReasonNone))
			now += c.Policy.HandoverTime + TickTime
		}
		agents.run(c, now, now+120*time.Millisecond, true, now)
		is.Equal(agents.delivered, 1)
	}
}
