package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against an agent that claims a new flow of another target because its own target
// held an earlier flow with the same ports.
func TestReusedKeyIsNotClaimed(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	k := testFlow(0)
	c.Update(now, targetAnswer(k, segment.FIN|segment.ACK, 0))
	now += time.Second
	c.Update(now, openMessage(k, 0))
	next := targetAnswer(k, segment.SYN|segment.ACK, 0)
	next.Segment.Seq = 5 * testSYNACKSeq
	c.Update(now, next)
	// The caller has chosen another target's answer.
	confirm := probeMessage(k)
	confirm.Message.Kind = relay.Confirm
	confirm.Segment.Ack = 9*testSYNACKSeq + 1
	is.True(!forwarded(c.Update(now+time.Millisecond, confirm)))
}

// Guards against the reset of a live flow by an agent whose target held an earlier flow
// with the same ports and bounces a misdirected packet of the live one.
func TestBounceOfNewerFlowDoesNotReset(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	k := testFlow(0)
	c.Update(now, targetAnswer(k, segment.FIN|segment.ACK, 0))
	now += time.Second
	later := probeMessage(k)
	later.Segment.Ack = 700 * testSYNACKSeq
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

// Guards against an agent that mistakes a duplicate of its target's answer to a SYN for a
// new flow, and then refuses packets of the open one: an answer that was sent twice, and
// an answer of a flow from before the agent's start.
func TestDuplicateSYNACKIsNotReuse(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	k := testFlow(0)
	c.Update(now, targetAnswer(k, segment.SYN|segment.ACK, 0))
	is.Equal(lookupReply(c, now, k), relay.Owned)
	k = testFlow(9)
	c.Update(now, targetAnswer(k, segment.ACK, 1))
	c.Update(now, targetAnswer(k, segment.SYN|segment.ACK, 0))
	is.Equal(lookupReply(c, now, k), relay.Owned)
}

// Guards against a caller that waits until its deadline because its target has lost the
// flow and the bounce is mistaken for one of another flow.
func TestBounceOfLostFlowIsReset(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	k := testFlow(0)
	for i := range 8 {
		answer := targetAnswer(k, segment.ACK, 1<<17)
		answer.Segment.Seq += uint32(i) << 17
		c.Update(now, answer)
	}
	bounced := targetAnswer(k, segment.ACK|segment.Bounced, 1)
	bounced.Segment.Ack = testSYNACKSeq + 7<<17
	is.True(hasDecision(c.Update(now, bounced), FlowLost))
}
