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
