package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// testPause is how long a process stands still in the tests.
	testPause = 3 * time.Second
	// testAnswer is the sequence number of the target's answers to SYNs.
	testAnswer = 1000
)

// deliverMessage is an entry's message with a request of a flow.
func deliverMessage(k segment.Key) *EntryMessage {
	return &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind:   relay.Probe,
			Key:    k,
			Packet: []byte{1},
		},
		Segment: segment.Segment{
			Key:   k,
			Flags: segment.ACK,
			Ack:   testAnswer + 1,
			Len:   1,
		},
	}
}

// targetAnswer is a packet of the target.
func targetAnswer(k segment.Key, flags segment.Flags, length int) *TargetPacket {
	return &TargetPacket{
		Segment: segment.Segment{
			Key:        k,
			FromTarget: true,
			Flags:      flags,
			Seq:        testAnswer,
			Len:        length,
		},
	}
}

// testFlow returns the key of the flow with a number.
func testFlow(i int) segment.Key {
	k := testKey
	k.CallerPort += uint16(i)

	return k
}

// askedCore returns an agent whose target holds four flows and has got a request of
// each, and the time then.
func askedCore() (*Core, time.Duration) {
	c := &Core{
		Complete: true,
	}
	now := TickTime
	c.Update(now, Tick{})
	for i := range 4 {
		c.Update(now, openMessage(testFlow(i), 0))
		c.Update(now, targetAnswer(testFlow(i), segment.SYN|segment.ACK, 0))
	}
	now += TickTime
	c.Update(now, Tick{})
	for i := range 4 {
		c.Update(now, deliverMessage(testFlow(i)))
	}

	return c, now
}

// decided reports whether one of the commands notes the decision.
func decided(commands []Command, d Decision) bool {
	for _, x := range commands {
		if n, ok := x.(Note); ok && n.Decision == d {
			return true
		}
	}

	return false
}

// Guards against an agent that takes its own pause for the silence of its target, and
// resets all flows while the target's answers wait in the socket: a VM stands still
// for seconds, and the first thing that runs then is a Tick or a waiting message.
func TestPauseIsNoSilence(t *testing.T) {
	for _, first := range []Message{
		Tick{},
		targetAnswer(testFlow(0), segment.ACK, 1),
		deliverMessage(testFlow(1)),
	} {
		is := is.New(t)
		c, now := askedCore()
		now += testPause
		for _, m := range []Message{
			first,
			Tick{},
			targetAnswer(testFlow(1), segment.ACK, 1),
			Tick{},
		} {
			commands := c.Update(now, m)
			is.True(!decided(commands, TargetDown))
			is.True(!decided(commands, FlowLost))
		}
		is.Equal(c.Flows(), 4)
	}
}

// Guards against the same where a process gets its core for 20 of each 100 ms only:
// no pause is long, and the answers come after each Tick.
func TestShareOfACoreIsNoSilence(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	for range 20 {
		now += 5 * TickTime
		is.True(!decided(c.Update(now, Tick{}), TargetDown))
	}
}

// Guards against a target that went silent before or during a pause and is not found
// out after it.
func TestSilenceAfterPause(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	now += testPause
	from := now
	for !decided(c.Update(now, Tick{}), TargetDown) {
		is.True(now-from <= DefaultPolicy().DownTime)
		now += TickTime
	}
	is.Equal(now-from, DefaultPolicy().DownTime)
}

// Guards against an agent that tells an entry that its target holds a flow, as no
// bounce came while the process stood still: the bounce waits in the socket.
func TestPauseIsNoProofOfAFlow(t *testing.T) {
	for _, first := range []Message{
		Tick{},
		targetAnswer(testFlow(1), segment.ACK, 1),
	} {
		is := is.New(t)
		c, now := askedCore()
		c.Complete = false
		stray := testFlow(9)
		c.Update(now, deliverMessage(stray))
		c.Update(now, targetAnswer(testFlow(0), segment.ACK, 1))
		now += testPause
		for _, m := range []Message{
			first,
			Tick{},
		} {
			for _, x := range c.Update(now, m) {
				if e, ok := x.(ToEntry); ok {
					is.True(e.Message.Key != stray)
				}
			}
		}
		bounce := targetAnswer(stray, segment.ACK|segment.Bounced, 1)
		is.True(decided(c.Update(now, bounce), NotHeld))
	}
}

// Guards against requests that no longer count as the target's load after a pause,
// though it had no time to answer them: all that waits would be passed to it at once.
func TestPauseKeepsLoad(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	is.Equal(c.work.progress, 4)
	c.Update(now+testPause, Tick{})
	is.Equal(c.work.progress, 4)
}

// Guards against a SYN whose caller gave up during a pause and that is passed to the
// target after it, as a message is handled before the first Tick. The target may also
// have begun to leave meanwhile.
func TestExpiredOpenIsNotAdmitted(t *testing.T) {
	is := is.New(t)
	c := Core{
		Complete: true,
	}
	now := TickTime
	for i := range 3 {
		m := openMessage(testFlow(i), 0)
		m.Message.Slots = 1
		c.Update(now, m)
	}
	is.Equal(c.backlog.size(), 1)
	c.Update(now, targetAnswer(testFlow(0), segment.SYN|segment.ACK, 0))
	c.Update(now, deliverMessage(testFlow(0)))
	now += testPause
	commands := c.Update(now, targetAnswer(testFlow(0), segment.ACK, 1))
	is.True(!passed(commands))
	is.True(decided(commands, Refused))
	is.Equal(c.backlog.size(), 0)
}

// Guards against an agent that takes the delay of its own sockets for the silence of its
// target: ticks come on time, and packets of the target wait.
func TestBehindIsNoSilence(t *testing.T) {
	is := is.New(t)
	c, now := askedCore()
	for range 100 {
		now += TickTime
		is.True(!decided(c.Update(now, Tick{
			Behind: true,
		}), TargetDown))
	}
	from := now
	for !decided(c.Update(now, Tick{}), TargetDown) {
		is.True(now-from <= DefaultPolicy().DownTime)
		now += TickTime
	}
	is.Equal(now-from, DefaultPolicy().DownTime)
}
