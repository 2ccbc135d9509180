package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// Guards against the denial of a flow that the target holds, after a packet of it could not be
// handled: the agent does not know, and the target decides. It keeps what it knows of other flows.
func TestDoubtedFlowIsLeftToTarget(t *testing.T) {
	is := is.New(t)
	c := Core{
		Complete: true,
	}
	c.Update(0, openMessage(testKey, 0))
	c.Doubt(time.Millisecond, testKey)
	is.Equal(c.ownership(testKey), relay.Unsure)
	is.True(forwarded(c.Update(2*time.Millisecond, probeMessage(testKey))))
	other := testKey
	other.CallerPort++
	is.Equal(c.ownership(other), relay.NotOwned)
}
