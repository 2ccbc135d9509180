package conntrack

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against the end of an agent by any message that comes before its service is confirmed, its
// target was heard or its flow table is back, and against a SYN that is passed on before.
func TestMessagesBeforeConfirmationDoNotPanic(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		c := Core{
			Service:         catalog.ServiceID("rufdienst"),
			ServiceValidity: 50 * time.Millisecond,
			Complete:        r.IntN(2) == 0,
			Started:         r.Int64N(3),
		}
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(r.Int64N(int64(30 * time.Millisecond)))
			m := randomEarlyMessage(r)
			e, ok := m.(*EntryMessage)
			if sent := forwarded(c.Update(now, m)); sent && ok && e.Segment.Opens() {
				t.Fatalf("seed %d: a SYN was passed on without a confirmed service", seed)
			}
		}
		for range 400 {
			now += time.Duration(r.Int64N(int64(30 * time.Millisecond)))
			c.Update(now, randomEarlyMessage(r))
			c.Update(now, ServiceConfirmed{
				Service: uint64(r.IntN(2)),
			})
		}
	}
}

// randomEarlyMessage returns a random message of any type but ServiceConfirmed.
func randomEarlyMessage(r *rand.Rand) Message {
	switch r.IntN(12) {
	case 0:
		return TargetChecked{
			Refused: r.IntN(2) == 0,
		}
	case 1:
		if r.IntN(50) == 0 {
			return TargetLeaves{}
		}

		return Tick{
			Behind: true,
		}
	case 2:
		m := openMessage(testKey, 0)
		m.Message.Service = catalog.ServiceID("rufdienst")

		return m
	default:
		return randomMessage(r)
	}
}

// Guards against a SYN that goes to a target of another service in the first moments of the process:
// the time of a confirmation that never came was taken for one at the start.
func TestSYNBeforeFirstServiceConfirmation(t *testing.T) {
	is := is.New(t)
	c := Core{
		Service:         3,
		ServiceValidity: 50 * time.Millisecond,
		Complete:        true,
	}
	m := openMessage(testKey, 0)
	m.Message.Service = 3
	is.True(!forwarded(c.Update(time.Millisecond, m)))
	is.True(forwarded(c.Update(2*time.Millisecond, ServiceConfirmed{
		Service: 3,
	})))
}

// Guards against the denial of a flow by an agent that was asked before it knew anything.
func TestFirstLookupIsNotDenied(t *testing.T) {
	is := is.New(t)
	c := Core{}
	for _, x := range c.Update(0, probeMessage(testKey)) {
		if x, ok := x.(ToEntry); ok {
			is.True(x.Message.Kind != relay.NotOwned && x.Message.Kind != relay.Returned)
		}
		_, reset := x.(Reset)
		is.True(!reset)
	}
	is.Equal(c.ownership(segment.Key{}), relay.Unsure)
}
