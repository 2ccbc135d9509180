package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// Guards against an agent that stays unsure for its whole life after a kill, so that every
// owner search needs a probe. A flow that has been idle for MaxFlowAge is discarded by its
// ends, and any other flow has passed this process.
func TestCompleteAfterMaxFlowAge(t *testing.T) {
	is := is.New(t)
	c := &Core{}
	now := time.Duration(0)
	for ; now < 2*defaultMaxFlowAge; now += TickTime {
		c.Update(now, Tick{})
	}
	is.Equal(lookupReply(c, now, testKey), relay.NotOwned)
}

// Guards against an agent that counts a pause of its process as time in which it observed
// its target's flows, and denies flows that it has not seen yet.
func TestPauseDoesNotCountTowardsComplete(t *testing.T) {
	is := is.New(t)
	c := &Core{}
	now := time.Duration(0)
	for ; now < defaultMaxFlowAge/2; now += TickTime {
		c.Update(now, Tick{})
	}
	now += defaultMaxFlowAge
	for range 10 {
		c.Update(now, Tick{})
		is.Equal(lookupReply(c, now, testKey), relay.Unsure)
		now += TickTime
	}
}
