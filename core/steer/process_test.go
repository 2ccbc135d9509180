package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Processes of the agents in the tests below.
const (
	firstProcess  = 11
	secondProcess = 12
	thirdProcess  = 13
)

// fromProcess returns a message of one of an agent's processes.
func fromProcess(process uint64, m relay.Message) relay.Message {
	m.Process = process

	return m
}

// Guards against flows of a living target that are reset because a message of the agent's former
// process, which told that its target had ended, arrives late: the next process may be back at once,
// beside a new target that has flows.
func TestLateEndOfFormerTarget(t *testing.T) {
	for name, known := range map[string]bool{"former process was heard": true, "former process was never heard": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(3)
			owner := c.listedOrder[0]
			if known {
				receive(c, 0, owner, fromProcess(firstProcess, stopMessage(relay.ReasonTargetDown)))
				is.Equal(c.gone(0, c.agent(owner)), TargetEnded)
			}
			c.Update(30*time.Millisecond, testPacket(1, segment.ACK))
			receive(c, 30*time.Millisecond, owner, fromProcess(secondProcess, relay.Message{
				Kind: relay.Owned,
				Key:  flowOne,
			}))
			is.Equal(c.gone(30*time.Millisecond, c.agent(owner)), EvidenceNone)
			receive(c, 150*time.Millisecond, owner, fromProcess(firstProcess, stopMessage(relay.ReasonTargetDown)))
			is.Equal(c.gone(150*time.Millisecond, c.agent(owner)), EvidenceNone)
			_, reset := synRecipients(c.Update(160*time.Millisecond, testPacket(1, segment.ACK)))
			is.True(!reset)
			is.Equal(len(c.flows), 1)

			// The process that runs goes on to be heard.
			for _, now := range []time.Duration{200 * time.Millisecond, 450 * time.Millisecond} {
				receive(c, now, owner, fromProcess(secondProcess, relay.Message{
					Kind: relay.Owned,
					Key:  flowOne,
				}))
				is.Equal(c.agent(owner).heard, now)
			}
			is.True(!c.inPlannedStop(450*time.Millisecond, c.agent(owner)))
			receive(c, time.Second, owner, fromProcess(secondProcess, stopMessage(relay.ReasonTargetDown)))
			is.Equal(c.gone(time.Second, c.agent(owner)), TargetEnded)
		})
	}
}

// Guards against an agent that gets no new flows for a while after a quick restart, and against one
// that counts as back because of a message that was sent before its stop.
func TestStopEndsWithNextProcess(t *testing.T) {
	is := is.New(t)
	c := newTestCore(3)
	agent := c.listedOrder[0]
	a := c.agent(agent)
	answer := relay.Message{
		Kind: relay.Owned,
		Key:  flowOne,
	}
	receive(c, 0, agent, fromProcess(firstProcess, answer))
	receive(c, 0, agent, fromProcess(firstProcess, stopMessage(relay.ReasonNone)))
	late := 2 * maxMessageDelay
	receive(c, late, agent, fromProcess(firstProcess, answer))
	is.True(c.inPlannedStop(late, a))
	receive(c, late, agent, fromProcess(secondProcess, answer))
	is.True(!c.inPlannedStop(late, a))
	receive(c, late, agent, fromProcess(firstProcess, stopMessage(relay.ReasonNone)))
	is.True(!c.inPlannedStop(late, a))

	// The parts of a table do not tell their process.
	receive(c, late, agent, relay.Message{
		Kind:     relay.Handover,
		Stopping: true,
		Table:    &relay.Table{},
	})
	is.True(c.inPlannedStop(late, a))
	receive(c, late+2*maxMessageDelay, agent, fromProcess(secondProcess, answer))
	is.True(!c.inPlannedStop(late+2*maxMessageDelay, a))
}

// Guards against the end of a target that is overlooked: the process that tells it is the only one
// that was heard.
func TestEndOfTargetToldByFirstMessage(t *testing.T) {
	is := is.New(t)
	c := newTestCore(3)
	owner := c.listedOrder[0]
	receive(c, 0, owner, fromProcess(thirdProcess, stopMessage(relay.ReasonTargetDown)))
	is.Equal(c.gone(0, c.agent(owner)), TargetEnded)
}
