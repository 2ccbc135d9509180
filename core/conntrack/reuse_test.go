package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against an agent that claims a new flow of another target because its own held an
// earlier one of the same ports.
func TestReusedKeyIsNotClaimed(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	k := testFlow(0)
	c.Update(now, targetAnswer(k, segment.FIN|segment.ACK, 0))
	now += time.Second
	c.Update(now, openMessage(k, 0))
	next := targetAnswer(k, segment.SYN|segment.ACK, 0)
	next.Segment.Seq = 5 * testAnswer
	c.Update(now, next)
	// The caller has chosen another target's answer.
	confirm := deliverMessage(k)
	confirm.Message.Kind = relay.Confirm
	confirm.Segment.Ack = 9*testAnswer + 1
	is.True(!passed(c.Update(now+time.Millisecond, confirm)))
}

// Guards against a reset of a living flow by an agent whose target held an earlier one of
// the same ports and bounces a packet that was led there.
func TestBounceOfLaterFlowIsNoReset(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	k := testFlow(0)
	c.Update(now, targetAnswer(k, segment.FIN|segment.ACK, 0))
	now += time.Second
	later := deliverMessage(k)
	later.Segment.Ack = 700 * testAnswer
	c.Update(now, later)
	bounced := targetAnswer(k, segment.ACK|segment.Bounced, 1)
	bounced.Segment.Ack = later.Segment.Ack
	reset := false
	for _, x := range c.Update(now+time.Millisecond, bounced) {
		if _, ok := x.(Reset); ok {
			reset = true
		}
	}
	is.True(!reset)
}

// Guards against an agent that takes a copy of its target's answer to a SYN for a new flow,
// and then refuses the packets of the one that is open: an answer that was sent twice, and one
// of a flow from before the agent's start.
func TestCopyOfAnswerIsNoReuse(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	k := testFlow(0)
	c.Update(now, targetAnswer(k, segment.SYN|segment.ACK, 0))
	is.Equal(askedFor(c, now, k), relay.Owned)
	k = testFlow(9)
	c.Update(now, targetAnswer(k, segment.ACK, 1))
	c.Update(now, targetAnswer(k, segment.SYN|segment.ACK, 0))
	is.Equal(askedFor(c, now, k), relay.Owned)
}

// Guards against a caller that waits for its deadline because its target, which has lost
// the flow, bounces a packet that is taken for one of another flow.
func TestBounceOfLostFlowIsReset(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	k := testFlow(0)
	for i := range 8 {
		answer := targetAnswer(k, segment.ACK, 1<<17)
		answer.Segment.Seq += uint32(i) << 17
		c.Update(now, answer)
	}
	bounced := targetAnswer(k, segment.ACK|segment.Bounced, 1)
	bounced.Segment.Ack = testAnswer + 7<<17
	is.True(decided(c.Update(now, bounced), FlowLost))
}
