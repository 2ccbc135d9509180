package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// silentOwner returns an entry with six agents that all answer but the owner of flow one,
// whose VM's port is in the given state.
func silentOwner(port PortState) (*Core, *testAgents) {
	c := newTestCore(6)
	agents := newTestAgents(c.listedOrder, relay.NotOwned)
	owner := c.listedOrder[0]
	agents.owner = owner
	agents.replies[owner] = relay.Owned
	agents.update(c, 0, testPacket(1, segment.ACK))
	delete(agents.replies, owner)
	agents.ports = map[netip.AddrPort]PortState{
		owner: port,
	}

	return c, agents
}

// runCaller advances time; the caller sends a packet every 100 ms, and another agent is heard
// all the time. It returns when the first reset came, or zero.
func (t *testAgents) runCaller(c *Core, from, to time.Duration) time.Duration {
	for now := from; now < to; now += TickTime {
		receive(c, now, c.listedOrder[1], relay.Message{
			Kind: relay.NotOwned,
			Key:  flowOne,
		})
		t.run(c, now, now+TickTime, true)
		if now%(100*time.Millisecond) == 0 {
			t.update(c, now, testPacket(1, segment.ACK))
		}
		if t.resets > 0 {
			return now
		}
	}

	return 0
}

func (t *testAgents) note(d Decision) (Note, bool) {
	for _, n := range t.notes {
		if n.Decision == d {
			return n, true
		}
	}

	return Note{}, false
}

// Guards against resets of flows whose agent is only slow or restarts, against flows of a VM
// without power that wait much longer than silence is noticed, and against logs that do not
// tell these cases apart.
func TestResetNeedsEvidence(t *testing.T) {
	// unanswered is when the first packet comes that the agent does not answer.
	const unanswered = 100 * time.Millisecond
	p := DefaultPolicy()
	for _, x := range []struct {
		port     PortState
		evidence Evidence
		// after is when the flow is reset at the earliest, and 2*SilentTime later at the
		// latest.
		after time.Duration
	}{
		{
			port: PortUnknown,
		},
		{
			port: PortAccepted,
		},
		{
			port:     PortRefused,
			evidence: ProcessGone,
			after:    p.StopTime,
		},
		{
			port:     PortSilent,
			evidence: VMUnreachable,
		},
	} {
		is := is.New(t)
		c, agents := silentOwner(x.port)
		at := agents.runCaller(c, TickTime, 8*time.Second)
		gone, _ := agents.note(OwnerGone)
		is.Equal(gone.Evidence, x.evidence)
		if x.evidence == EvidenceNone {
			is.Equal(agents.resets, 0)
		} else {
			is.True(at >= unanswered+max(p.SilentTime, x.after))
			is.True(at <= unanswered+x.after+2*p.SilentTime)
		}
		_, silent := agents.note(AgentSilent)
		is.True(silent)
		port, _ := agents.note(SilentPortChecked)
		is.Equal(port.Port, x.port)
		agents.replies[agents.owner] = relay.Owned
		receiveOwned(c, agents, 8*time.Second)
		back, found := agents.note(LostAgentBack)
		is.Equal(found, x.evidence != EvidenceNone)
		is.Equal(back.Evidence, x.evidence)
	}
}

func receiveOwned(c *Core, agents *testAgents, now time.Duration) {
	agents.update(c, now, &AgentMessage{
		From: agents.owner,
		Message: relay.Message{
			Kind: relay.Owned,
			Key:  flowOne,
		},
	})
}

// Guards against the end of a target, which its agent told, that counts as a mistake of this
// entry once the agent is back.
func TestToldEndIsNoMistake(t *testing.T) {
	is := is.New(t)
	c, agents := silentOwner(PortSilent)
	agents.update(c, TickTime, &AgentMessage{
		From:    agents.owner,
		Message: stopMessage(relay.ReasonTargetDown),
	})
	agents.runCaller(c, 2*TickTime, time.Second)
	gone, _ := agents.note(OwnerGone)
	is.Equal(gone.Evidence, TargetEnded)
	receiveOwned(c, agents, time.Second)
	_, found := agents.note(LostAgentBack)
	is.True(!found)
}

// Guards against resets of the flows of an agent that gets no processor time for 500 ms, and
// against packets that stay undelivered once it is back.
func TestSlowAgentKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	c, agents := silentOwner(PortAccepted)
	is.Equal(agents.runCaller(c, TickTime, 500*time.Millisecond), time.Duration(0))
	before := agents.delivered
	agents.replies[agents.owner] = relay.Owned
	is.Equal(agents.runCaller(c, 500*time.Millisecond, 2*time.Second), time.Duration(0))
	is.True(agents.delivered >= before+15)
}

// Guards against a conclusion from connections that no agent answers: the fault is then this
// entry's or lies between.
func TestUnreachableAgentsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	c, agents := silentOwner(PortSilent)
	for _, a := range c.listedOrder {
		agents.ports[a] = PortSilent
	}
	is.Equal(agents.runCaller(c, TickTime, 5*time.Second), time.Duration(0))
}

// Guards against a connection attempt that timed out because this process was paused or the
// agent was heard meanwhile.
func TestOldPortCheckIsIgnored(t *testing.T) {
	for _, heard := range []bool{true, false} {
		is := is.New(t)
		c := newTestCore(2)
		owner := c.listedOrder[0]
		a := c.agent(owner)
		a.unanswered = minCheckQueries
		c.lastHeardFrom = c.listedOrder[1]
		c.Update(TickTime, Tick{})
		is.True(a.port.pending)
		now := 2 * TickTime
		if heard {
			receive(c, now, owner, relay.Message{
				Kind: relay.NotOwned,
				Key:  flowOne,
			})
		} else {
			now += time.Second
		}
		c.Update(now, PortChecked{
			Agent:      owner,
			State:      PortSilent,
			OtherState: PortAccepted,
		})
		is.Equal(a.port.state, PortUnknown)
	}
}

// Guards against misrouted packets: the owner is silent, and its flow's packets come to an
// entry that does not know the flow while the other agents are unsure.
func TestSearchWithSilentOwnerSendsNothingElsewhere(t *testing.T) {
	for _, port := range []PortState{PortUnknown, PortAccepted, PortRefused} {
		is := is.New(t)
		c := newTestCore(6)
		agents := newTestAgents(c.listedOrder[1:], relay.Unsure)
		agents.ports = map[netip.AddrPort]PortState{
			c.listedOrder[0]: port,
		}
		is.Equal(agents.runCaller(c, TickTime, 4*time.Second), time.Duration(0))
		is.Equal(agents.probes, 0)
	}
}

// Guards against a packet for the target that answered the SYN that goes to another one,
// which got a copy of the SYN, because the agent of the first is silent.
func TestConfirmWaitsForSilentAgent(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	c.Update(0, testPacket(1, segment.SYN))
	f := c.flows[flowOne]
	f.tried = c.listedOrder[:2]
	f.accepted = c.listedOrder[:1]
	c.agent(f.accepted[0]).silent = true
	is.Equal(c.candidates(f), f.accepted)
	c.agent(f.accepted[0]).goneBy = VMUnreachable
	is.Equal(c.candidates(f), f.tried[1:])
}

// Guards against connections without end to a VM that is gone, for which only searches ask.
func TestGoneVMIsNotCheckedAgain(t *testing.T) {
	is := is.New(t)
	c, agents := silentOwner(PortSilent)
	delete(c.flows, flowOne)
	agents.runCaller(c, TickTime, 2*time.Second)
	sent := c.agent(agents.owner).port.sent
	is.True(sent > 0)
	is.True(sent < time.Second)
}
