package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against resets of the flows of an agent that stops as planned: an answer of it from
// before, 200 ms late, comes 201 ms after the announcement and is taken for its return.
func TestLateAnswerIsNoReturn(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listing[0]
	agents := newTestAgents(c.listing[1:], relay.NotOwned)
	owned := relay.Message{
		Kind: relay.Owned,
		Key:  flowOne,
	}
	agents.update(c, 0, benchPacket(1, segment.ACK))
	hears(c, time.Millisecond, owner, owned)
	hears(c, 100*time.Millisecond, owner, stopping(relay.ReasonNone))
	for now := 120 * time.Millisecond; now < 620*time.Millisecond; now += TickTime {
		if now == 300*time.Millisecond {
			hears(c, now+time.Millisecond, owner, owned)
		}
		// Another agent is heard all the while.
		hears(c, now, c.listing[1], relay.Message{
			Kind: relay.NotOwned,
			Key:  flowOne,
		})
		agents.update(c, now+time.Millisecond, Tick{})
		if now%(100*time.Millisecond) == 0 {
			agents.update(c, now+time.Millisecond, benchPacket(1, segment.ACK))
		}
	}
	is.Equal(agents.resets, 0)
}
