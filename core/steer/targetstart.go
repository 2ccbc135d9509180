package steer

import (
	"math"
	"net/netip"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/relay"
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

// knownStart is what an entry knows of a start of a target that is listed, or left the list
// lately.
type knownStart struct {
	// since is when the start was first told. A target that left the list and is back is not
	// new.
	since  time.Duration
	listed bool
}

// updateStarts notes the starts that the present snapshot tells. Another start on an agent's VM
// than before clears what the agent said about the end of the previous target.
func (c *Core) updateStarts(now time.Duration) {
	before := c.listState.starts
	starts := map[targetStart]knownStart{}
	for _, group := range c.snapshot.Groups {
		for i := range group {
			start := startOf(&group[i])
			known, ok := before[start]
			if !ok {
				known.since = now
			}
			if !known.listed {
				c.agent(c.agentOf(&group[i])).targetEnded = false
			}
			known.listed = true
			starts[start] = known
		}
	}
	for i := range c.snapshot.Departed {
		start := startOf(&c.snapshot.Departed[i])
		if known, ok := before[start]; ok {
			known.listed = false
			starts[start] = known
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

// addTargetStart adds to a query when the target beside an agent started, whose service it names,
// and for how long this entry has known of that start. The target is at least that old, whatever
// the clock of its VM says.
func (c *Core) addTargetStart(now time.Duration, agent netip.AddrPort, m relay.Message) relay.Message {
	t := c.targetOf(agent)
	if t == nil {
		return m
	}
	m.Service = t.Service
	m.Born = t.Born
	if known, ok := c.listState.starts[startOf(t)]; ok {
		m.Age = uint16(min((now - known.since).Milliseconds(), math.MaxUint16))
	}

	return m
}
