package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against an agent that keeps a flow which its target bounces late: it had said
// that it owned the flow, as the target reacted to others and not to the packet on trial.
// The packet goes back, so that the entry searches the owner.
func TestAssumedFlowIsGivenBack(t *testing.T) {
	is := is.New(t)
	c := Core{}
	c.Update(0, deliverMessage(testFlow(1)))
	c.Update(10*time.Millisecond, deliverMessage(testFlow(2)))
	c.Update(20*time.Millisecond, targetAnswer(testFlow(2), segment.ACK, 1))
	is.Equal(answerOf(c.Update(probeTime+20*time.Millisecond, Tick{})), relay.Owned)
	returned := []relay.Reason{}
	for _, x := range c.Update(probeTime+30*time.Millisecond, &TargetPacket{
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
