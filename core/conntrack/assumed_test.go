package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against an agent that keeps a flow which its target bounces late. The agent has
// told the entry that it owns the flow, because the target sent other packets but did not
// react to the probe. The late bounce has to return the packet, so that the entry searches
// for the owner.
func TestAssumedFlowBouncedLaterIsReturned(t *testing.T) {
	is := is.New(t)
	c := Core{}
	c.Update(0, probeMessage(testFlow(1)))
	c.Update(10*time.Millisecond, probeMessage(testFlow(2)))
	c.Update(20*time.Millisecond, targetAnswer(testFlow(2), segment.ACK, 1))
	is.Equal(entryReply(c.Update(probeTimeout+20*time.Millisecond, Tick{})), relay.Owned)
	returned := []relay.Reason{}
	for _, x := range c.Update(probeTimeout+30*time.Millisecond, &TargetPacket{
		Segment: segment.Segment{
			Key:   testFlow(1),
			Flags: segment.ACK | segment.Bounced,
		},
		Packet: []byte{1},
	}) {
		if x, ok := x.(ToEntry); ok && x.Message.Kind == relay.Returned {
			returned = append(returned, x.Message.Reason)
		}
		_, reset := x.(Reset)
		is.True(!reset)
	}
	is.Equal(returned, []relay.Reason{relay.ReasonNotHeld})
}
