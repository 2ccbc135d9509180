package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a held flow that is forgotten, and then denied, because the target, which
// takes no new flows now, bounces a late copy of its SYN.
func TestBouncedCopyOfSYNDoesNotEndFlow(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	k := testFlow(0)
	is.Equal(askedFor(c, now, k), relay.Owned)
	c.Update(now, openMessage(k, 0))
	c.Update(now, targetAnswer(k, segment.SYN|segment.Bounced, 0))
	is.Equal(askedFor(c, now, k), relay.Owned)
}

// Guards against an unsure agent that denies a flow because it passed a copy of its SYN: the
// target may have held the flow since before the agent's start.
func TestCopyOfSYNIsNoDenial(t *testing.T) {
	is := is.New(t)
	c := &Core{}
	c.Update(0, Tick{})
	c.Update(time.Millisecond, openMessage(testKey, 0))
	is.Equal(askedFor(c, 2*time.Millisecond, testKey), relay.Unsure)
	is.True(passed(c.Update(3*time.Millisecond, deliverMessage(testKey))))
}

// Guards against an unsure agent that tells an entry that its target holds a flow whose
// caller chose another target: the target's answer to the SYN comes after a packet that was tried
// there, and is no sign that it took that.
func TestLateAnswerToSYNIsNoClaim(t *testing.T) {
	is := is.New(t)
	c := &Core{}
	now := TickTime
	c.Update(now, openMessage(testKey, 0))
	c.Update(now, deliverMessage(testKey))
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
