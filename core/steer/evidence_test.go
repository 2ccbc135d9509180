package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// silenceFixture is an entry with six agents, all of which answer but one, the owner of flow
// one.
type silenceFixture struct {
	*Core
	owner  netip.AddrPort
	agents *testAgents
	notes  []Note
	resets int
}

func newSilenceFixture() *silenceFixture {
	f := &silenceFixture{
		Core: newTestCore(6),
	}
	f.owner = f.listedOrder[0]
	f.agents = newTestAgents(f.listedOrder[1:], relay.NotOwned)
	f.agents.update(f.Core, 0, testPacket(1, segment.ACK))
	f.answer(time.Millisecond)

	return f
}

// answer has the owner answer a query.
func (f *silenceFixture) answer(now time.Duration) {
	f.collect(f.Update(now, &AgentMessage{
		From: f.owner,
		Message: relay.Message{
			Kind: relay.Owned,
			Key:  flowOne,
		},
	}))
}

func (f *silenceFixture) collect(commands []Command) {
	for _, x := range commands {
		switch x := x.(type) {
		case Note:
			f.notes = append(f.notes, x)
		case Reset:
			f.resets++
		}
	}
}

// run advances time; the caller sends a packet every 100 ms, and another agent is heard all
// the time.
func (f *silenceFixture) run(from, to time.Duration) {
	for now := from; now < to; now += TickTime {
		receive(f.Core, now, f.listedOrder[1], relay.Message{
			Kind: relay.NotOwned,
			Key:  flowOne,
		})
		f.collect(f.Update(now, Tick{}))
		if now%(100*time.Millisecond) == 0 {
			f.collect(f.Update(now, testPacket(1, segment.ACK)))
		}
	}
}

// find returns the first note with a decision.
func (f *silenceFixture) find(d Decision) Note {
	for _, n := range f.notes {
		if n.Decision == d {
			return n
		}
	}

	return Note{}
}

// Guards against logs that do not tell the reset of a flow whose target has ended from one
// whose agent is only silent, and against an agent that is back without a line that its flows
// may have been reset by mistake.
func TestResetNamesItsEvidence(t *testing.T) {
	for _, ended := range []bool{true, false} {
		is := is.New(t)
		f := newSilenceFixture()
		want := QueriesUnanswered
		if ended {
			receive(f.Core, TickTime, f.owner, stopMessage(relay.ReasonTargetDown))
			want = TargetEnded
		}
		f.run(2*TickTime, 500*time.Millisecond)
		gone := f.find(OwnerGone)
		is.Equal(gone.Evidence, want)
		is.True(ended || gone.Count >= minUnansweredQueries)
		f.answer(500 * time.Millisecond)
		is.Equal(f.find(LostAgentBack).Decision == LostAgentBack, !ended)
		is.True(ended || f.find(LostAgentBack).Count == 1)
	}
}
