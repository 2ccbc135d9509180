package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// Guards against SYNs that wait for the target, or take a place of it, though another target
// has opened their flow; and against a packet to a target that never saw the flow.
func TestWithdrawnFlowTakesNoPlace(t *testing.T) {
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
	expected := len(c.work.expected)
	for _, i := range []int{n, 1} {
		commands := c.Update(2*time.Millisecond, sentTo(testEntry, relay.Message{
			Kind: relay.Withdraw,
			Key:  testFlow(i),
		}, 0, 0))
		is.True(!passed(commands))
	}
	is.Equal(c.backlog.size(), 0)
	is.Equal(len(c.work.expected), expected-1)
}
