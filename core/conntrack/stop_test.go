package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against callers that lose a request which they can't repeat, because nobody
// tells them that the target of their idle flow has ended. Pattern: the targets of a
// service are replaced one after the other.
func TestStopBesideEndedTarget(t *testing.T) {
	for _, ended := range []bool{true, false} {
		is := is.New(t)
		c := Core{
			Complete: true,
		}
		c.Update(0, openMessage(testKey, 0))
		c.Update(time.Millisecond, &TargetPacket{
			Segment: segment.Segment{
				Key:        testKey,
				FromTarget: true,
				Flags:      segment.ACK,
				Len:        1,
			},
		})
		resets := 0
		reason := relay.ReasonNone
		told := []relay.Kind{}
		for _, x := range c.Update(time.Second, Stop{
			TargetEnded: ended,
		}) {
			switch x := x.(type) {
			case Reset:
				resets++
			case ToEntry:
				told = append(told, x.Message.Kind)
				reason = max(reason, x.Message.Reason)
			}
		}
		if ended {
			is.Equal(told, []relay.Kind{relay.Stopping})
		} else {
			is.Equal(told, []relay.Kind{relay.Stopping, relay.Handover})
		}
		is.Equal(resets == 1, ended)
		is.Equal(reason == relay.ReasonTargetDown, ended)
	}
}

// Guards against searches that each pass a packet to a target whose port is closed:
// what is not known of it can't be held by it. Pattern: all callers return after a
// loss of power from which one target does not come back.
func TestClosedPortHoldsNothing(t *testing.T) {
	is := is.New(t)
	c := Core{}
	find := &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind: relay.Find,
			Key:  testKey,
		},
	}
	is.Equal(answerOf(c.Update(0, find)), relay.Unsure)
	c.Update(time.Millisecond, TargetRefused{})
	is.Equal(answerOf(c.Update(2*time.Millisecond, find)), relay.NotOwned)
}

// answerOf returns the kind of the message to an entry.
func answerOf(commands []Command) relay.Kind {
	for _, x := range commands {
		if x, ok := x.(ToEntry); ok {
			return x.Message.Kind
		}
	}

	return 0
}

// Guards against new flows that wait at an agent and are lost with it when it stops as
// planned. Pattern: planned stop under load.
func TestStopHandsWaitingFlowsBack(t *testing.T) {
	is := is.New(t)
	c, waiting := waitingCore(is)
	is.Equal(returnedBy(c.Update(time.Millisecond, Stop{}), relay.ReasonFull), waiting)
	is.Equal(c.backlog.size(), 0)
}

// Guards against flows that wait for a target and reach another service, which has taken
// its place, or wait on for one that is down.
func TestWaitingFlowsLeaveAnotherTarget(t *testing.T) {
	is := is.New(t)
	c, waiting := waitingCore(is)
	is.Equal(returnedBy(c.Update(time.Millisecond, ServiceChanged{
		Service: 1,
	}), relay.ReasonWrongService), waiting)
	c, waiting = waitingCore(is)
	is.Equal(returnedBy(c.Update(time.Millisecond, TargetRefused{}), relay.ReasonTargetDown), waiting)
}

// waitingCore returns an agent with flows that wait, and their number.
func waitingCore(is *is.I) (*Core, int) {
	c := &Core{
		Complete: true,
	}
	for i := range 10 {
		m := openMessage(testKey, 0)
		m.Message.Key.CallerPort += uint16(i)
		m.Message.Slots = 2
		c.Update(0, m)
	}
	is.True(c.backlog.size() > 0)

	return c, c.backlog.size()
}

// returnedBy counts the packets that are handed back for a reason.
func returnedBy(commands []Command, reason relay.Reason) int {
	n := 0
	for _, x := range commands {
		if x, ok := x.(ToEntry); ok && x.Message.Kind == relay.Returned && x.Message.Reason == reason {
			n++
		}
	}

	return n
}

// Guards against an answer that breaks off halfway and looks complete to its caller: a
// target that ends in the middle of it is told with a reset, never with an end of the
// flow that its target did not send.
func TestBrokenAnswerEndsInReset(t *testing.T) {
	is := is.New(t)
	c := Core{
		Complete: true,
	}
	part := &TargetPacket{
		Segment: segment.Segment{
			Key:        testKey,
			FromTarget: true,
			Flags:      segment.ACK,
			Len:        1200,
		},
		Packet: []byte{1},
	}
	c.Update(0, openMessage(testKey, 0))
	c.Update(time.Millisecond, part)
	resets := 0
	for _, x := range c.Update(2*time.Millisecond, TargetRefused{}) {
		switch x.(type) {
		case Reset:
			resets++
		case ToCaller:
			t.Error("a packet that no target sent")
		}
	}
	is.Equal(resets, 1)
}
