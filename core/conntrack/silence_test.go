package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// checksTarget reports whether one of the commands asks for a check of the target.
func checksTarget(commands []Command) bool {
	for _, x := range commands {
		if _, ok := x.(CheckTarget); ok {
			return true
		}
	}

	return false
}

// silentTarget returns an agent whose target holds four flows and has just become silent.
func silentTarget(is *is.I) (*Core, time.Duration) {
	c, now := busyCore()
	start := now
	for commands := []Command{}; !hasDecision(commands, TargetSilent); {
		commands = c.Update(now, Tick{})
		is.True(!hasDecision(commands, FlowLost))
		is.Equal(checksTarget(commands), hasDecision(commands, TargetSilent))
		is.True(now-start <= DefaultPolicy().DownTime)
		now += TickTime
	}

	return c, now
}

// Guards against resets of the flows of a target that is only slow, as it gets no processor
// time: it holds them, and its VM's kernel accepts connections to it.
func TestSlowTargetKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	c, now := silentTarget(is)
	checks := 0
	for range 3 * time.Second / TickTime {
		commands := c.Update(now, Tick{})
		is.True(!hasDecision(commands, FlowLost))
		if checksTarget(commands) {
			checks++
		}
		c.Update(now, TargetChecked{})
		is.True(forwarded(c.Update(now, probeMessage(testFlow(0)))))
		now += TickTime
	}
	is.Equal(c.Flows(), 4)
	is.True(checks >= 10 && checks <= 20)
	is.True(hasDecision(c.Update(now, targetAnswer(testFlow(0), segment.ACK, 1)), TargetBack))
	is.True(!checksTarget(c.Update(now, Tick{})))
}

// Guards against new flows that wait at a silent target until their callers give up.
func TestSilentTargetGetsNoNewFlow(t *testing.T) {
	is := is.New(t)
	c, now := silentTarget(is)
	refused := 0
	for i := range 10 {
		commands := c.Update(now, openMessage(testFlow(10+i), 0))
		refused += countReturned(commands, relay.ReasonTargetDown)
	}
	// One of them is passed on, to find out whether the target is back.
	is.True(refused >= 9)
}

// Guards against callers that wait for a target whose process has ended, though no packet to
// it is refused.
func TestEndedTargetIsNoticed(t *testing.T) {
	is := is.New(t)
	c, now := silentTarget(is)
	commands := c.Update(now, TargetChecked{
		Refused: true,
	})
	is.True(hasDecision(commands, TargetDown))
	is.True(hasDecision(commands, FlowLost))
	is.Equal(c.Flows(), 0)
}

// Guards against a check that began before the target was heard or this process was paused,
// and that tells of another process of the target.
func TestOldTargetCheckIsIgnored(t *testing.T) {
	for _, heard := range []bool{true, false} {
		is := is.New(t)
		c, now := silentTarget(is)
		if heard {
			c.Update(now, targetAnswer(testFlow(0), segment.ACK, 1))
		} else {
			now += testPause
		}
		commands := c.Update(now, TargetChecked{
			Refused: true,
		})
		is.True(!hasDecision(commands, FlowLost))
		is.Equal(c.Flows(), 4)
	}
}
