package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// Guards against a SYN that reaches a target of any service because it comes as a packet of a
// flow, which names no service (docs/incidents/inc-36.md).
func TestSYNIsPassedOnlyFromOpen(t *testing.T) {
	for _, kind := range []relay.Kind{relay.Deliver, relay.Confirm, relay.Probe} {
		for _, complete := range []bool{false, true} {
			is := is.New(t)
			c := Core{
				Service:  1,
				Complete: complete,
			}
			m := openMessage(testKey, 0)
			m.Message.Kind = kind
			commands := c.Update(0, m)
			is.True(!forwarded(commands))
			is.True(returnedTo(commands, relay.ReasonNotHeld))
		}
	}
}

// Guards against a SYN for another service that is passed to the target because the target
// may hold a flow with the same key.
func TestSYNOfKnownFlowNamesService(t *testing.T) {
	is := is.New(t)
	c := Core{
		Service:  1,
		Complete: true,
	}
	m := openMessage(testKey, 0)
	m.Message.Service = 1
	is.True(forwarded(c.Update(0, m)))
	m = openMessage(testKey, 0)
	m.Message.Service = 2
	commands := c.Update(time.Millisecond, m)
	is.True(!forwarded(commands))
	is.True(returnedTo(commands, relay.ReasonWrongService))
}

// returnedTo reports whether testEntry gets the SYN of testKey back for a reason.
func returnedTo(commands []Command, reason relay.Reason) bool {
	for _, c := range commands {
		m, ok := c.(ToEntry)
		if ok && m.To == testEntry && m.Message.Kind == relay.Returned && m.Message.Reason == reason && m.Message.Key == testKey {
			return true
		}
	}

	return false
}

// newServiceCore returns a core that takes flows for service 1 once this is confirmed.
func newServiceCore() *Core {
	return &Core{
		Service:         1,
		ServiceValidity: 50 * time.Millisecond,
		Complete:        true,
	}
}

// serviceOpen returns an Open of testKey for a service.
func serviceOpen(service uint64) *EntryMessage {
	m := openMessage(testKey, 0)
	m.Message.Service = service

	return m
}

// Guards against SYNs for the service that the target belonged to earlier: the agent knows its
// service only from settings that it read some time ago (docs/incidents/inc-36.md).
func TestSYNWaitsForCurrentService(t *testing.T) {
	is := is.New(t)
	c := newServiceCore()
	c.Update(0, ServiceConfirmed{
		Service: 1,
	})
	now := time.Duration(0)
	for now < 100*time.Millisecond {
		now += TickTime
		c.Update(now, Tick{})
	}
	is.True(!forwarded(c.Update(now, serviceOpen(1))))
	is.True(!forwarded(c.Update(now+TickTime, Tick{})))
	is.True(forwarded(c.Update(now+TickTime, ServiceConfirmed{
		Service: 1,
	})))

	c.Update(now+TickTime, messageFrom(testEntry, relay.Message{
		Kind: relay.Withdraw,
		Key:  testKey,
	}, 0, 0))
	is.True(!forwarded(c.Update(time.Second, serviceOpen(1))))
	commands := c.Update(time.Second, ServiceConfirmed{
		Service: 2,
	})
	is.True(!forwarded(commands))
}

// Guards against SYNs that wait at an agent and reach a target of another service after its
// settings have changed.
func TestWaitingSYNsAreReturnedWithService(t *testing.T) {
	is := is.New(t)
	c := newServiceCore()
	c.Update(0, Tick{})
	is.True(!forwarded(c.Update(100*time.Millisecond, serviceOpen(1))))
	is.Equal(c.Waiting(), 1)
	commands := c.Update(100*time.Millisecond, ServiceConfirmed{
		Service: 2,
	})
	is.True(!forwarded(commands))
	is.True(returnedTo(commands, relay.ReasonWrongService))
}

// Guards against SYNs that came during a long pause of the agent and are passed on before it
// handles the signal or the settings that came meanwhile: its target may have ended, and the
// address may belong to another service.
func TestSYNsOfLongPauseWait(t *testing.T) {
	is := is.New(t)
	for _, pause := range []time.Duration{minReplaceTime / 2, 2 * minReplaceTime} {
		c := newServiceCore()
		confirmed := ServiceConfirmed{
			Service: 1,
		}
		c.Update(0, Tick{})
		now := pause
		c.Update(now, confirmed)
		is.Equal(forwarded(c.Update(now, serviceOpen(1))), pause < minReplaceTime)
		is.Equal(c.Waiting() > 0, pause >= minReplaceTime)
		if c.Waiting() == 0 {
			continue
		}
		late := false
		for now < pause+2*resumeTime {
			now += TickTime
			passed := forwarded(c.Update(now, Tick{}))
			passed = forwarded(c.Update(now, confirmed)) || passed
			is.True(!passed || now >= pause+resumeTime)
			late = late || passed
		}
		is.True(late)
	}
}

// Guards against a new flow that reaches another target at the address of a leaving one: the
// agent outlives its target until it notices the end, and after a pause that may be late.
func TestLeavingTargetGetsNoNewFlow(t *testing.T) {
	is := is.New(t)
	c := newServiceCore()
	c.Update(0, ServiceConfirmed{
		Service: 1,
	})
	is.True(forwarded(c.Update(0, serviceOpen(1))))
	other := serviceOpen(1)
	other.Message.Key = testFlow(2)
	other.Segment.Key = testFlow(2)
	c.evidence.waitUntil = time.Second
	c.Update(0, other)
	is.Equal(c.Waiting(), 1)
	is.Equal(countReturned(c.Update(0, TargetLeaves{}), relay.ReasonFull), 1)
	is.Equal(c.Waiting(), 0)

	c.evidence.waitUntil = 0
	is.Equal(countReturned(c.Update(0, other), relay.ReasonFull), 1)
	// A copy of a SYN that the target got is neither passed on nor refused: the target may have
	// opened the flow.
	commands := c.Update(0, serviceOpen(1))
	is.True(!forwarded(commands))
	is.Equal(countReturned(commands, relay.ReasonFull), 0)
}
