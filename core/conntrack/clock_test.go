package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// findWithStart returns an entry's lookup that tells when the target started, in Unix
// milliseconds, and for how long the entry has known of this start.
func findWithStart(born int64, known time.Duration) *EntryMessage {
	return &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind: relay.Find,
			Key:  testKey,
			Born: born,
			Age:  uint16(known.Milliseconds()),
		},
	}
}

// completeAfterFind reports whether an agent that started at the given time concludes that
// its target holds no earlier flows, when an entry's lookup tells it when the target
// started and there is no evidence against it.
func completeAfterFind(started, born int64, listened bool) bool {
	c := Core{
		Started:        started,
		TargetListened: listened,
	}
	c.Update(0, findWithStart(born, 0))
	c.Update(startEvidenceTime, Tick{})

	return c.Complete
}

// Guards against an agent that takes a target for a new one, and denies flows that the target
// holds, because the VM's clock was set back by the target's age before the agent started
// (review/5): an entry has known of the target for longer, whether it asks first or after one
// that has just started.
func TestTargetKnownBeforeAgentIsNotFresh(t *testing.T) {
	const (
		born     = 1_000_000
		lifetime = 2 * time.Second
	)
	for _, knownFor := range [][]time.Duration{{lifetime}, {0, lifetime}, {lifetime, 0}, {0, 0, maxTargetLead + 101*time.Millisecond}} {
		is := is.New(t)
		c := Core{
			Started: born,
		}
		for _, known := range knownFor {
			c.Update(100*time.Millisecond, findWithStart(born, known))
		}
		c.Update(2*startEvidenceTime, findWithStart(born, 0))
		is.True(!c.Complete)
		is.Equal(lookupReply(&c, 2*startEvidenceTime, testKey), relay.Unsure)
	}
}

// Guards against an agent that gives up the flow table of the process before because the
// VM's clock makes the target look new: the table shows that the target held flows.
func TestTableShowsThatTargetIsNotFresh(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(5, 3))
	c := restartedCore(minDowntime)
	c.Update(0, findWithStart(c.Started, 0))
	c.Update(60*time.Millisecond, offerMessage(testEntry, parts[0], minDowntime))
	c.Update(startEvidenceTime, Tick{})
	is.True(!c.Complete)
	c.Update(startEvidenceTime, partMessage(testEntry, parts[0]))
	is.Equal(lookupReply(c, startEvidenceTime, flowKey(2)), relay.Owned)
}

// Guards against an agent that stays unsure of all flows after a power loss because an entry
// has not heard yet of the target's new start, and has known the one before for long.
func TestFormerStartIsNoEvidence(t *testing.T) {
	is := is.New(t)
	const started = 1_000_000
	c := Core{
		Started: started,
	}
	c.Update(0, findWithStart(started-30_000, 30*time.Second))
	c.Update(startEvidenceTime, findWithStart(started, 0))
	is.True(c.Complete)
}

// Guards against packets that are tried at targets after a power loss because their agents
// answer that they are unsure while they wait for evidence.
func TestLookupWaitsForEvidence(t *testing.T) {
	is := is.New(t)
	c := restartedCore(minDowntime)
	is.Equal(len(c.Update(0, findWithStart(c.Started, 0))), 0)
	commands := c.Update(startEvidenceTime, Tick{})
	answer := commands[len(commands)-1].(ToEntry).Message
	is.Equal(answer.Kind, relay.Answers)
	is.Equal(answer.Ownership, []relay.Kind{relay.NotOwned})
}

// Guards against an agent that mistakes a clock which was set back for a new target, and
// answers "not owned" for flows that the target holds. The target was listening when the
// agent started, so it can't have started later.
func TestClockSetBackIsNotFreshTarget(t *testing.T) {
	is := is.New(t)
	// Unix milliseconds, then differences in milliseconds.
	const (
		born       = 1_000_000
		targetLead = 2000
		setBack    = 2400
	)
	is.True(!completeAfterFind(born+targetLead, born, true))
	is.True(!completeAfterFind(born+targetLead-setBack, born, true))
}

// Guards against agents that stay unsure of all flows after a power loss, when targets
// start shortly before their agents or with them, and against the same when an agent
// starts before its target.
func TestTargetStartedWithAgentIsFresh(t *testing.T) {
	is := is.New(t)
	const started = 1_000_000
	for _, lead := range []time.Duration{0, 100 * time.Millisecond, maxTargetLead} {
		is.True(completeAfterFind(started, started-lead.Milliseconds(), true))
	}
	is.True(!completeAfterFind(started, started-maxTargetLead.Milliseconds()-1, true))
	is.True(completeAfterFind(started, started+3000, false))
}

// Guards against an agent that takes its target for a new one because of the start of an entry
// that another writer made for the VM (review/7).
func TestStartOfOtherServiceIsNoEvidence(t *testing.T) {
	is := is.New(t)
	const started = 1_000_000
	c := Core{
		Service: 7,
		Started: started,
	}
	for _, service := range []uint64{0, 8} {
		m := findWithStart(started, 0)
		m.Message.Service = service
		c.Update(0, m)
		c.Update(startEvidenceTime, m)
		is.True(!c.Complete)
	}
	m := findWithStart(started, 0)
	m.Message.Service = c.Service
	c.Update(2*startEvidenceTime, m)
	is.True(c.Complete)
}
