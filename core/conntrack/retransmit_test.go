package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a held flow that is discarded, and then denied, because its target, which
// takes no new flows now, bounces a late retransmission of its SYN.
func TestBouncedRetransmittedSYNDoesNotEndFlow(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	k := testFlow(0)
	is.Equal(lookupReply(c, now, k), relay.Owned)
	c.Update(now, openMessage(k, 0))
	c.Update(now, targetAnswer(k, segment.SYN|segment.Bounced, 0))
	is.Equal(lookupReply(c, now, k), relay.Owned)
}

// Guards against an agent that has not seen all flows and denies a flow because it passed
// a retransmission of its SYN: the target may have held the flow since before the agent's
// start.
func TestRetransmittedSYNLeavesOwnershipUnsure(t *testing.T) {
	is := is.New(t)
	c := &Core{}
	c.Update(0, Tick{})
	c.Update(time.Millisecond, openMessage(testKey, 0))
	is.Equal(lookupReply(c, 2*time.Millisecond, testKey), relay.Unsure)
	is.True(forwarded(c.Update(3*time.Millisecond, probeMessage(testKey))))
}

// Guards against an agent that claims a flow whose caller chose another target. The
// target's answer to the SYN arrives after a probe packet of the flow, and does not show
// that the target accepted the probe.
func TestLateSYNAnswerDoesNotClaimFlow(t *testing.T) {
	is := is.New(t)
	c := &Core{}
	now := TickTime
	c.Update(now, openMessage(testKey, 0))
	c.Update(now, probeMessage(testKey))
	c.Update(now, targetAnswer(testKey, segment.SYN|segment.ACK, 0))
	for range 5 {
		now += TickTime
		for _, x := range c.Update(now, Tick{}) {
			if e, ok := x.(ToEntry); ok {
				is.True(e.Message.Kind != relay.Owned)
			}
		}
	}
}
