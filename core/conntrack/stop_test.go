package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against callers that lose a request which they can't repeat, because they were
// not told that the target of their idle flow has ended. This happens when the targets of
// a service are replaced one after the other.
func TestStopAfterTargetEnded(t *testing.T) {
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
		kinds := []relay.Kind{}
		for _, x := range c.Update(time.Second, Stop{
			TargetEnded: ended,
		}) {
			switch x := x.(type) {
			case Reset:
				resets++
			case ToEntry:
				kinds = append(kinds, x.Message.Kind)
				reason = max(reason, x.Message.Reason)
			}
		}
		if ended {
			is.Equal(kinds, []relay.Kind{relay.Stopping})
		} else {
			is.Equal(kinds, []relay.Kind{relay.Stopping, relay.Handover})
		}
		is.Equal(resets == 1, ended)
		is.Equal(reason == relay.ReasonTargetDown, ended)
	}
}

// Guards against owner searches that each pass a packet to a target whose port is closed:
// such a target can't hold a flow that the agent does not know. This happens when all
// callers return after a power loss and one target does not.
func TestRefusingTargetHoldsNoFlows(t *testing.T) {
	is := is.New(t)
	c := Core{}
	find := &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind: relay.Find,
			Key:  testKey,
		},
	}
	is.Equal(entryReply(c.Update(0, find)), relay.Unsure)
	c.Update(time.Millisecond, TargetRefused{})
	is.Equal(entryReply(c.Update(2*time.Millisecond, find)), relay.NotOwned)
}

// entryReply returns the kind of the first message to an entry.
func entryReply(commands []Command) relay.Kind {
	for _, x := range commands {
		if x, ok := x.(ToEntry); ok {
			return x.Message.Kind
		}
	}

	return 0
}

// Guards against queued new flows that are lost with their agent when it stops as planned
// under load.
func TestStopReturnsWaitingFlows(t *testing.T) {
	is := is.New(t)
	c, waiting := coreWithBacklog(is)
	is.Equal(countReturned(c.Update(time.Millisecond, Stop{}), relay.ReasonFull), waiting)
	is.Equal(c.backlog.size(), 0)
}

// Guards against queued flows that are passed to a target of another service which has
// taken the place of theirs, or that stay queued for a target that is down.
func TestWaitingFlowsReturnedOnTargetChange(t *testing.T) {
	is := is.New(t)
	c, waiting := coreWithBacklog(is)
	is.Equal(countReturned(c.Update(time.Millisecond, ServiceConfirmed{
		Service: 1,
	}), relay.ReasonWrongService), waiting)
	c, waiting = coreWithBacklog(is)
	is.Equal(countReturned(c.Update(time.Millisecond, TargetRefused{}), relay.ReasonTargetDown), waiting)
}

// coreWithBacklog returns an agent with queued flows, and their number.
func coreWithBacklog(is *is.I) (*Core, int) {
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

// countReturned counts the packets that are returned for the given reason.
func countReturned(commands []Command, reason relay.Reason) int {
	n := 0
	for _, x := range commands {
		if x, ok := x.(ToEntry); ok && x.Message.Kind == relay.Returned && x.Message.Reason == reason {
			n++
		}
	}

	return n
}

// Guards against a truncated answer that looks complete to its caller: when a target ends
// in the middle of an answer, the caller gets a reset, never an end of the flow that the
// target did not send.
func TestTruncatedAnswerEndsInReset(t *testing.T) {
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
			t.Error("agent sent its caller a packet that the target did not send")
		}
	}
	is.Equal(resets, 1)
}

// Guards against resets of living flows by an entry that first hears an agent after the agent
// has announced its stop, or that missed the announcements: every later message tells the
// stop, and an announcement follows for entries that do not read that. Issue 39, FLOW.
func TestMessagesAfterStopTellIt(t *testing.T) {
	is := is.New(t)
	c := stoppingCore(5, 3)
	c.Update(stopAt, Stop{})
	message := func(k relay.Kind, port int) *EntryMessage {
		return messageFrom(testEntry, relay.Message{
			Kind: k,
			Key:  flowKey(port),
			Keys: []segment.Key{flowKey(port)},
		}, segment.ACK, ackSeq)
	}
	for _, m := range []Message{
		message(relay.Find, 2),
		message(relay.FindMany, 9),
		message(relay.Confirm, 2),
		message(relay.Deliver, 9),
		openMessage(flowKey(9), 0),
		packetFromTarget(flowKey(0), segment.ACK|segment.Bounced, 0),
	} {
		// Also late, when the process takes new flows again.
		for _, now := range []time.Duration{stopAt, stopAt + 2*stopBlockTime} {
			kinds := []relay.Kind{}
			for _, x := range c.Update(now, m) {
				if x, ok := x.(ToEntry); ok {
					is.True(x.Message.Stopping)
					kinds = append(kinds, x.Message.Kind)
				}
			}
			is.True(len(kinds)%2 == 0)
			for i, k := range kinds {
				is.Equal(k == relay.Stopping, i%2 == 1)
			}
			is.True(len(kinds) > 0 || now > stopAt)
		}
	}
}
