package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// testPause is how long a process is paused in the tests.
	testPause = 3 * time.Second
	// testSYNACKSeq is the sequence number of the target's answers to SYNs.
	testSYNACKSeq = 1000
)

// probeMessage returns an entry's probe with a request of a flow.
func probeMessage(k segment.Key) *EntryMessage {
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
			Ack:   testSYNACKSeq + 1,
			Len:   1,
		},
	}
}

// targetAnswer returns a packet that the target sent.
func targetAnswer(k segment.Key, flags segment.Flags, length int) *TargetPacket {
	return &TargetPacket{
		Segment: segment.Segment{
			Key:        k,
			FromTarget: true,
			Flags:      flags,
			Seq:        testSYNACKSeq,
			Len:        length,
		},
	}
}

// testFlow returns the key of the flow with the given number.
func testFlow(i int) segment.Key {
	k := testKey
	k.CallerPort += uint16(i)

	return k
}

// busyCore returns an agent whose target holds four flows and was sent a request of each,
// and the current time.
func busyCore() (*Core, time.Duration) {
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
		c.Update(now, probeMessage(testFlow(i)))
	}

	return c, now
}

// hasDecision reports whether one of the commands notes the decision.
func hasDecision(commands []Command, d Decision) bool {
	for _, x := range commands {
		if n, ok := x.(Note); ok && n.Decision == d {
			return true
		}
	}

	return false
}

// Guards against an agent that mistakes its own pause for silence of its target, and
// resets all flows while the target's answers wait in the socket. A VM may be paused for
// seconds; the first thing that runs after that is a Tick or a waiting message.
func TestPauseDoesNotMarkTargetDown(t *testing.T) {
	for _, first := range []Message{
		Tick{},
		targetAnswer(testFlow(0), segment.ACK, 1),
		probeMessage(testFlow(1)),
	} {
		is := is.New(t)
		c, now := busyCore()
		now += testPause
		for _, m := range []Message{
			first,
			Tick{},
			targetAnswer(testFlow(1), segment.ACK, 1),
			Tick{},
		} {
			commands := c.Update(now, m)
			is.True(!hasDecision(commands, TargetSilent))
			is.True(!hasDecision(commands, FlowLost))
		}
		is.Equal(c.Flows(), 4)
	}
}

// Guards against the same mistake when the process gets its core for only 20 of each 100
// ms: no single pause is long, and the answers arrive after each Tick.
func TestCPUThrottlingDoesNotMarkTargetDown(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	for range 20 {
		now += 5 * TickTime
		is.True(!hasDecision(c.Update(now, Tick{}), TargetSilent))
	}
}

// Guards against a target that became silent before or during a pause and is not detected
// as such afterwards.
func TestTargetDownDetectedAfterPause(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	now += testPause
	start := now
	for !hasDecision(c.Update(now, Tick{}), TargetSilent) {
		is.True(now-start <= DefaultPolicy().DownTime)
		now += TickTime
	}
	is.Equal(now-start, DefaultPolicy().DownTime)
}

// Guards against an agent that claims a flow because no bounce arrived while the process
// was paused: the bounce is still waiting in the socket.
func TestPauseDoesNotConfirmProbe(t *testing.T) {
	for _, first := range []Message{
		Tick{},
		targetAnswer(testFlow(1), segment.ACK, 1),
	} {
		is := is.New(t)
		c, now := busyCore()
		c.Complete = false
		notHeld := testFlow(9)
		c.Update(now, probeMessage(notHeld))
		c.Update(now, targetAnswer(testFlow(0), segment.ACK, 1))
		now += testPause
		for _, m := range []Message{
			first,
			Tick{},
		} {
			for _, x := range c.Update(now, m) {
				if e, ok := x.(ToEntry); ok {
					is.True(e.Message.Key != notHeld)
				}
			}
		}
		bounce := targetAnswer(notHeld, segment.ACK|segment.Bounced, 1)
		c.Update(now, bounce)
		is.True(hasDecision(c.Update(now, BatchEnd{}), ProbesDenied))
	}
}

// Guards against requests that no longer count as the target's load after a pause,
// although the target had no time to answer them: all queued SYNs would be passed to it at
// once.
func TestPauseKeepsLoad(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	is.Equal(c.inflight.inProgress, 4)
	c.Update(now+testPause, Tick{})
	is.Equal(c.inflight.inProgress, 4)
}

// Guards against a SYN whose caller gave up during a pause and that is still passed to the
// target, because a message is handled before the first Tick. The target may also have
// begun to leave in the meantime.
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
	c.Update(now, probeMessage(testFlow(0)))
	now += testPause
	commands := c.Update(now, targetAnswer(testFlow(0), segment.ACK, 1))
	is.True(!forwarded(commands))
	is.True(hasDecision(commands, Refused))
	is.Equal(c.backlog.size(), 0)
}

// Guards against an agent that mistakes a backlog in its own sockets for silence of its
// target: Ticks are on time while packets of the target still wait.
func TestBehindTicksDoNotMarkTargetDown(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	for range 100 {
		now += TickTime
		is.True(!hasDecision(c.Update(now, Tick{
			Behind: true,
		}), TargetSilent))
	}
	start := now
	for !hasDecision(c.Update(now, Tick{}), TargetSilent) {
		is.True(now-start <= DefaultPolicy().DownTime)
		now += TickTime
	}
	is.Equal(now-start, DefaultPolicy().DownTime)
}
