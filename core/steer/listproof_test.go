package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a reset that rests on an answer which the configuration service made before the
// flow's packet came, however late that answer arrived: the flow's target may be newer.
func TestResetNeedsAnswerNewerThanPacket(t *testing.T) {
	is := is.New(t)
	const begin = 10 * time.Second
	c := newTestCore(3)
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	agents.run(c, begin, begin+100*time.Millisecond, false, begin)
	now := begin + 100*time.Millisecond
	agents.update(c, now, CatalogConfirmed{
		MaxAge: 100*time.Millisecond + 1,
	})
	is.Equal(agents.resets, 0)
	agents.update(c, now, CatalogConfirmed{
		MaxAge: 100 * time.Millisecond,
	})
	is.Equal(agents.resets, 1)
}

// Guards against callers of flows that are gone who wait for a confirmation that comes by itself,
// and against a call to the configuration service for each of their flows.
func TestConfirmationIsRequested(t *testing.T) {
	is := is.New(t)
	const (
		begin = 10 * time.Second
		flows = 40
	)
	c := newTestCore(3)
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	for i := range flows {
		now := begin + time.Duration(i)*TickTime
		agents.update(c, now, testPacket(i, segment.ACK))
		agents.update(c, now, Tick{})
		is.True(agents.requests > 0)
	}
	is.True(agents.requests <= int(flows*TickTime/maxConfirmInterval)+3)
	requests := agents.requests
	is.Equal(agents.resets, 0)
	agents.update(c, begin+flows*TickTime, CatalogConfirmed{})
	is.Equal(agents.resets, flows)

	// After a calm time the next request does not wait.
	const later = begin + flows*TickTime + confirmCalmTime
	agents.run(c, later, later+2*TickTime, false, later)
	is.Equal(agents.requests, requests+1)
}

// Guards against requests for flows whose owner answers: only a search that may end with a reset
// needs a confirmation.
func TestNoConfirmationForLocalOwner(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	agents := newTestAgents(c.listedOrder, relay.Owned)
	agents.owner = c.listedOrder[0]
	agents.run(c, time.Second, 2*time.Second, false, time.Second)
	is.Equal(agents.delivered, 1)
	is.Equal(agents.requests, 0)
}
