package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// Guards against SYNs that stay queued, or count as expected requests, after another
// target has opened their flow, and against a withdrawal that sends a packet to a target
// that never saw the flow.
func TestWithdrawnFlowFreesCapacity(t *testing.T) {
	is := is.New(t)
	c := Core{}
	n := 0
	for c.backlog.size() == 0 && n < 100 {
		n++
		m := openMessage(testFlow(n), 0)
		m.Message.Slots = 1
		c.Update(time.Millisecond, m)
	}
	is.Equal(c.backlog.size(), 1)
	expected := len(c.inflight.expected)
	for _, i := range []int{n, 1} {
		commands := c.Update(2*time.Millisecond, messageFrom(testEntry, relay.Message{
			Kind: relay.Withdraw,
			Key:  testFlow(i),
		}, 0, 0))
		is.True(!forwarded(commands))
	}
	is.Equal(c.backlog.size(), 0)
	is.Equal(len(c.inflight.expected), expected-1)
}
