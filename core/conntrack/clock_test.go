package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
)

// claims reports whether an agent that started at a time of its VM's clock takes its
// target for one that holds no earlier flows, when an entry tells when that started.
func claims(started, born int64, listened bool) bool {
	c := Core{
		Started:  started,
		Listened: listened,
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

// Guards against an agent that takes a clock which jumped back for a target that is new,
// and answers "not owned" for flows that the target holds: the target listened when the
// agent started, so it can't have started after it.
func TestClockBehindIsNoProof(t *testing.T) {
	is := is.New(t)
	const (
		born  = 1_000_000
		older = 2000
		jump  = 2400
	)
	is.True(!claims(born+older, born, true))
	is.True(!claims(born+older-jump, born, true))
}

// Guards against agents that are unsure of all flows after a loss of power, when targets
// start a little before or with their agents, and after a start before their target.
func TestLossOfPowerIsFresh(t *testing.T) {
	is := is.New(t)
	const started = 1_000_000
	for _, ahead := range []time.Duration{0, 100 * time.Millisecond, freshTime} {
		is.True(claims(started, started-ahead.Milliseconds(), true))
	}
	is.True(!claims(started, started-freshTime.Milliseconds()-1, true))
	is.True(claims(started, started+3000, false))
}
