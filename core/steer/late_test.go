package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against resets of the flows of an agent that stops as planned: an answer that it
// sent before, delayed by 200 ms, arrives 201 ms after the announcement and is taken as
// evidence that it is back.
func TestLateAnswerDoesNotEndStop(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listedOrder[0]
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	owned := relay.Message{
		Kind: relay.Owned,
		Key:  flowOne,
	}
	agents.update(c, 0, testPacket(1, segment.ACK))
	receive(c, time.Millisecond, owner, owned)
	receive(c, 100*time.Millisecond, owner, stopMessage(relay.ReasonNone))
	for now := 120 * time.Millisecond; now < 620*time.Millisecond; now += TickTime {
		if now == 300*time.Millisecond {
			receive(c, now+time.Millisecond, owner, owned)
		}
		// Another agent is heard all the time.
		receive(c, now, c.listedOrder[1], relay.Message{
			Kind: relay.NotOwned,
			Key:  flowOne,
		})
		agents.update(c, now+time.Millisecond, Tick{})
		if now%(100*time.Millisecond) == 0 {
			agents.update(c, now+time.Millisecond, testPacket(1, segment.ACK))
		}
	}
	is.Equal(agents.resets, 0)
}

// Guards against a reset of a flow at a target that started at the address of a target
// whose end was announced: the agent is back, other entries place flows there, and its
// answer arrives 5 ms later than those of the other agents.
func TestAgentOfEndedTargetMayBeBack(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listedOrder[0]
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	for now := TickTime; now < time.Second; now += TickTime {
		agents.update(c, now, CatalogConfirmed{})
		agents.update(c, now, Tick{})
	}
	receive(c, time.Second, owner, stopMessage(relay.ReasonTargetDown))
	for now := time.Second + TickTime; now < 2*time.Second; now += TickTime {
		agents.update(c, now, CatalogConfirmed{})
		agents.update(c, now, Tick{})
	}
	now := 2 * time.Second
	agents.update(c, now, testPacket(1, segment.ACK))
	agents.update(c, now+TickTime, Tick{})
	is.Equal(agents.resets, 0)
	receive(c, now+TickTime+5*time.Millisecond, owner, relay.Message{
		Kind: relay.Owned,
		Key:  flowOne,
	})
	is.Equal(len(c.flows), 1)
}

// Guards against searches that wait for the agent of a target that has ended for as long as
// for one that is silent without an announcement.
func TestAgentOfEndedTargetIsAwaitedForOneWave(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	receive(c, TickTime, c.listedOrder[0], stopMessage(relay.ReasonTargetDown))
	agents.run(c, 2*TickTime, time.Second, true)
	agents.run(c, time.Second, time.Second+5*TickTime, true, time.Second)
	is.Equal(agents.resets, 1)
}

// Guards against a second misrouted packet at a target that has bounced a probe: an earlier
// Unsure of its agent arrives after that, late or duplicated.
func TestLateUnsureIsNotProbedAgain(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	// The list is not current, so the search goes on.
	c.listState.confirmed = false
	agents := newTestAgents(c.listedOrder, relay.Unsure)
	agents.update(c, TickTime, testPacket(1, segment.ACK))
	agents.update(c, 2*TickTime, Tick{})
	agents.update(c, 3*TickTime, Tick{})
	is.Equal(agents.probes, 6)
	agents.update(c, 4*TickTime, testPacket(1, segment.ACK))
	agents.update(c, 5*TickTime, Tick{})
	before := agents.probes
	agents.update(c, 6*TickTime, &AgentMessage{
		From: c.listedOrder[0],
		Message: relay.Message{
			Kind: relay.Unsure,
			Key:  flowOne,
		},
	})
	agents.update(c, 7*TickTime, Tick{})
	is.Equal(agents.probes, before)
}

// Guards against resets of all flows of an agent whose datagrams are delayed by 200 ms for
// a while.
func TestLateAnswersAreNoSilence(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	owner := c.listedOrder[0]
	agents := newTestAgents(c.listedOrder[1:], relay.NotOwned)
	agents.update(c, 0, testPacket(1, segment.ACK))
	receive(c, time.Millisecond, owner, relay.Message{
		Kind: relay.Owned,
		Key:  flowOne,
	})
	type due struct {
		at time.Duration
		m  AgentMessage
	}
	late := []due{}
	resets := 0
	for now := TickTime; now < time.Second; now += TickTime {
		for len(late) > 0 && late[0].at <= now {
			m := late[0].m
			late = late[1:]
			c.Update(now, &m)
		}
		// Another agent is heard all the time.
		receive(c, now, c.listedOrder[1], relay.Message{
			Kind: relay.NotOwned,
			Key:  flowOne,
		})
		messages := []Message{Tick{}}
		if now%(100*time.Millisecond) == 0 {
			messages = append(messages, testPacket(1, segment.ACK))
		}
		for _, m := range messages {
			for _, x := range c.Update(now, m) {
				switch x := x.(type) {
				case *Send:
					if x.To == owner && x.Message.Kind == relay.Find {
						late = append(late, due{
							at: now + 200*time.Millisecond,
							m: AgentMessage{
								From: owner,
								Message: relay.Message{
									Kind: relay.Owned,
									Key:  x.Message.Key,
								},
							},
						})
					}
				case Reset:
					resets++
				}
			}
		}
	}
	is.Equal(resets, 0)
}
