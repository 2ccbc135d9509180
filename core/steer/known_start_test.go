package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// Guards against an entry that tells an agent too long or too short a time for which it has
// known of the target's start: too long would keep agents unsure after a power loss, too short
// would let a clock that was set decide.
func TestStartKnownFor(t *testing.T) {
	is := is.New(t)
	c := newTestCore(1)
	agent := c.listedOrder[0]
	update := func(now time.Duration, change func(*catalog.Snapshot)) {
		n := newTestCore(1).snapshot
		change(n)
		c.Update(now, CatalogChanged{
			Snapshot: n,
		})
	}
	known := func(now time.Duration) time.Duration {
		return time.Duration(lookup(c, now, agent).Age) * time.Millisecond
	}
	is.Equal(known(2*time.Second), 2*time.Second)

	// The target leaves the list and is back.
	update(3*time.Second, func(n *catalog.Snapshot) {
		for id, g := range n.Groups {
			n.Departed = g
			delete(n.Groups, id)
		}
	})
	update(4*time.Second, func(*catalog.Snapshot) {})
	is.Equal(known(5*time.Second), 5*time.Second)

	// It starts again under its ID.
	update(6*time.Second, func(n *catalog.Snapshot) {
		for _, g := range n.Groups {
			g[0].Born++
		}
	})
	is.Equal(known(7*time.Second), time.Second)
	is.Equal(known(time.Hour).Round(time.Second), 66*time.Second)
}
