package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// completeAfterFind reports whether an agent that started at the given time concludes that
// its target holds no earlier flows, when an entry's lookup tells it when the target
// started.
func completeAfterFind(started, born int64, listened bool) bool {
	c := Core{
		Started:        started,
		TargetListened: listened,
	}
	c.Update(0, &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind: relay.Find,
			Key:  testKey,
			Born: born,
		},
	})

	return c.Complete
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
