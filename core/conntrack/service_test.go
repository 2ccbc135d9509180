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
