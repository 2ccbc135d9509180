package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target that gets flows at once, before other entries know it: the clock
// of its VM is some seconds behind, so it does not look as if it had just started.
func TestSpreadWithClockBehind(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	n := newTestCore(2).snapshot
	const wall = 1_000_000
	for _, group := range n.Groups {
		for i := range group {
			group[i].Born = wall - 5000
		}
	}
	c.Update(time.Second, CatalogChanged{
		Snapshot: n,
		Wall:     wall,
	})
	is.True(c.agent(c.listedOrder[1]).spreadUntil > time.Second)
}

// Guards against resets of living flows at a target that was listed long after its start, for
// example as it had started while the configuration service was away: it got flows at once,
// while the current list of another entry still lacked it. Targets that return to the list
// don't wait. Issue 39, FLOW.
func TestTargetListedLateWaits(t *testing.T) {
	is := is.New(t)
	c := newTestCore(2)
	full := newTestCore(3).snapshot
	listAt := func(now time.Duration) time.Duration {
		c.Update(now, CatalogChanged{
			Snapshot: full,
			Wall:     time.Hour.Milliseconds(),
		})

		return c.agent(c.listedOrder[2]).spreadUntil
	}
	begin := 10 * time.Second
	is.Equal(listAt(begin), begin+c.Policy.SpreadTime)
	updateList(c, begin+time.Second, true, c.listedOrder[2])
	is.Equal(listAt(begin+2*time.Second), begin+c.Policy.SpreadTime)
}
