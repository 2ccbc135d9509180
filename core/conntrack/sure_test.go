package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// Guards against an agent that stays unsure for its whole life after a kill, so that each
// search needs trials: a flow that has sent nothing for MaxFlowAge is discarded by its ends,
// and any other has passed this process.
func TestUnsureAgentIsSureAfterMaxFlowAge(t *testing.T) {
	is := is.New(t)
	c := &Core{}
	now := time.Duration(0)
	for ; now < 2*defaultMaxAge; now += TickTime {
		c.Update(now, Tick{})
	}
	is.Equal(askedFor(c, now, testKey), relay.NotOwned)
}

// Guards against an agent that counts a pause of its process as time in which it has seen its
// target's flows, and denies those that it has not seen yet.
func TestPauseDoesNotMakeSure(t *testing.T) {
	is := is.New(t)
	c := &Core{}
	now := time.Duration(0)
	for ; now < defaultMaxAge/2; now += TickTime {
		c.Update(now, Tick{})
	}
	now += defaultMaxAge
	for range 10 {
		c.Update(now, Tick{})
		is.Equal(askedFor(c, now, testKey), relay.Unsure)
		now += TickTime
	}
}
