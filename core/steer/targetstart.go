package steer

import (
	"net/netip"

	"ibisfold.example/core/catalog"
)

// targetStart identifies a start of a target.
type targetStart struct {
	id      string
	address netip.AddrPort
	born    int64
}

func startOf(t *catalog.Member) targetStart {
	return targetStart{
		id:      t.ID,
		address: t.Address,
		born:    t.Born,
	}
}

// updateStarts notes the starts of the listed targets. A start that was not listed before
// clears what the agent on the VM said about the end of the previous target.
func (c *Core) updateStarts() {
	before := c.listState.starts
	starts := map[targetStart]bool{}
	for _, group := range c.snapshot.Groups {
		for i := range group {
			start := startOf(&group[i])
			if !before[start] {
				c.agent(c.agentOf(&group[i])).targetEnded = false
			}
			starts[start] = true
		}
	}
	c.listState.starts = starts
}

// targetOf returns the target beside an agent as far as the entry can tell, or nil if it knows
// none. Only the agent knows from its settings which service its target has.
func (c *Core) targetOf(agent netip.AddrPort) *catalog.Member {
	// A departed target has no listed one that replaces it: see setDeparted.
	if t, departed := c.listState.departed[agent]; departed {
		return t
	}

	return c.listed[agent]
}
