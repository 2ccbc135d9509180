package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against an agent that does not learn that its target is draining or has left the
// list, which only the entries can report to it. During a replacement of targets their list
// entries are removed before their last flows end.
func TestAgentsLearnThatTargetsLeave(t *testing.T) {
	for _, x := range []struct {
		name       string
		updateList func(c *Core)
		leaving    bool
	}{
		{"listed", func(*Core) {}, false},
		{"draining", func(c *Core) { drain(c, 0) }, true},
		{"departed", func(c *Core) { updateList(c, time.Second, true, c.listedOrder[0]) }, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(3)
			owner := c.listedOrder[0]
			receive(c, 0, owner, relay.Message{
				Kind: relay.Owned,
			})
			c.setOwner(0, flowOne, owner)
			x.updateList(c)
			sent := 0
			for _, m := range c.Update(2*time.Second, testPacket(1, segment.ACK)) {
				if s, ok := m.(*Send); ok && s.To == owner {
					sent++
					is.Equal(s.Message.Leaving, x.leaving)
				}
			}
			is.Equal(sent, 1)
		})
	}
}

// drain gives the entry a list in which one target is draining.
func drain(c *Core, target int) {
	n := *c.snapshot
	n.Groups = map[uint64][]catalog.Member{}
	for service, group := range c.snapshot.Groups {
		for i := range group {
			m := group[i]
			m.Draining = c.agentOf(&m) == c.listedOrder[target]
			n.Groups[service] = append(n.Groups[service], m)
		}
	}
	c.Update(time.Second, CatalogChanged{
		Snapshot:  &n,
		Confirmed: true,
	})
}
