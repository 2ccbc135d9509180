package steer

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
)

const (
	// offerInterval is the time between two offers of a flow table to its agent.
	offerInterval = 60 * time.Millisecond
	// restoreWindow is how long after an agent is heard again its flow table may arrive:
	// two offers, and the transfer of the parts from another zone.
	restoreWindow = 150 * time.Millisecond
	// maxTableBytes bounds the memory of all tables that an entry keeps: a hundred tables
	// of 500 flows each, or a dozen of 5,400.
	maxTableBytes = 2 << 20
	// tableFlowBytes is the memory that each flow of a table takes, tablePartBytes what
	// each part takes in addition.
	tableFlowBytes = 20
	tablePartBytes = 128
	// keptTableBytes is the memory that a table takes in addition to its parts.
	keptTableBytes = 1200
)

// keptTables holds the flow tables of agents that stopped a short while ago, the oldest
// first, until the agents have restarted.
type keptTables struct {
	list  []*keptTable
	bytes int
}

// keptTable is the flow table of an agent, with the parts that arrived at this entry.
type keptTable struct {
	agent netip.AddrPort
	id    int64
	// formerID identifies the table that this one replaced, whose parts may still arrive.
	formerID int64
	parts    uint8
	received [relay.MaxParts]*relay.Table
	bytes    int
	// firstPart is when the first part arrived, lastOffer when the table was last offered.
	firstPart time.Duration
	lastOffer time.Duration
}

func (t *keptTables) find(agent netip.AddrPort) *keptTable {
	i := slices.IndexFunc(t.list, func(x *keptTable) bool {
		return x.agent == agent
	})
	if i < 0 {
		return nil
	}

	return t.list[i]
}

func (t *keptTables) remove(x *keptTable) {
	i := slices.Index(t.list, x)
	t.list = slices.Delete(t.list, i, i+1)
	t.bytes -= x.bytes
}

// grow adds to the memory that a table takes.
func (t *keptTables) grow(x *keptTable, bytes int) {
	x.bytes += bytes
	t.bytes += bytes
}

// handleTable handles messages about flow tables. It reports whether the message needs no
// further handling: a part of a table was sent before the agent's stop and may arrive after
// the agent's other messages, so it does not show that the agent is available.
func (c *Core) handleTable(now time.Duration, m *AgentMessage) bool {
	t := m.Message.Table
	if t == nil {
		return m.Message.Kind == relay.Handover
	}
	switch m.Message.Kind {
	case relay.Handover:
		c.keepPart(now, m.From, t)
		if m.Message.Stopping {
			c.recordStop(now, m.From, &m.Message, processUnknown)
		}

		return true
	case relay.HandoverWanted:
		c.sendParts(m.From, t)
	case relay.HandoverDone:
		if x := c.tables.find(m.From); x != nil && x.id == t.ID {
			c.tables.remove(x)
		}
	}

	return false
}

// keepPart keeps a part of an agent's flow table. The first part of a table replaces the
// agent's table of an earlier stop. IDs tell tables apart and not which is newer: the clock of
// the agent's VM may have been set back in between.
func (c *Core) keepPart(now time.Duration, from netip.AddrPort, t *relay.Table) {
	x := c.tables.find(from)
	switch {
	case c.Policy.HandoverTime == 0 || x != nil && t.ID == x.formerID:
		return
	case x == nil:
		x = c.keepTable(now, from, t)
	case t.ID != x.id:
		c.tables.remove(x)
		formerID := x.id
		x = c.keepTable(now, from, t)
		x.formerID = formerID
	}
	if t.Parts != x.parts || t.Part >= x.parts || x.received[t.Part] != nil {
		return
	}
	x.received[t.Part] = t
	c.tables.grow(x, tablePartBytes+len(t.Flows)*tableFlowBytes)
	c.limitTables(now)
}

func (c *Core) keepTable(now time.Duration, from netip.AddrPort, t *relay.Table) *keptTable {
	x := &keptTable{
		agent:     from,
		id:        t.ID,
		parts:     min(t.Parts, relay.MaxParts),
		firstPart: now,
		// All entries that have the table got it at about the same time. A random phase
		// spreads their offers, so that one of them reaches the agent sooner after its
		// restart.
		lastOffer: now - time.Duration(c.Random.Int64N(int64(offerInterval))),
	}
	c.tables.list = append(c.tables.list, x)
	c.tables.grow(x, keptTableBytes)
	c.note(now, Note{
		Decision: TableKept,
		Agent:    from,
		Count:    int(t.Parts),
	})

	return x
}

// limitTables drops the oldest tables while the total exceeds the memory limit.
func (c *Core) limitTables(now time.Duration) {
	for c.tables.bytes > maxTableBytes {
		x := c.tables.list[0]
		c.tables.remove(x)
		c.note(now, Note{
			Decision: TableDropped,
			Agent:    x.agent,
			Count:    int(x.parts),
		})
	}
}

// sendParts sends an agent those of the requested parts that are here.
func (c *Core) sendParts(to netip.AddrPort, t *relay.Table) {
	x := c.tables.find(to)
	if x == nil || x.id != t.ID {
		return
	}
	for _, part := range t.Wanted {
		if part >= relay.MaxParts || x.received[part] == nil {
			continue
		}
		c.send(to, relay.Message{
			Kind:  relay.HandoverPart,
			Table: x.received[part],
		})
	}
}

// tickTables offers each table to its agent, which may have restarted, and drops those that
// are too old to be used. An offer does not count as a query: an agent that is unavailable
// does not answer it.
func (c *Core) tickTables(now time.Duration) {
	for len(c.tables.list) > 0 && now-c.tables.list[0].firstPart > c.Policy.HandoverTime {
		c.tables.remove(c.tables.list[0])
	}
	for _, x := range c.tables.list {
		if now-x.lastOffer < offerInterval {
			continue
		}
		x.lastOffer = now
		c.send(x.agent, relay.Message{
			Kind: relay.HandoverOffer,
			Table: &relay.Table{
				ID:    x.id,
				Parts: x.parts,
			},
		})
	}
}

// awaitTable notes that an agent which is heard again after a planned stop may soon receive
// its flow table. Until then its answer Unsure is provisional: a probe would ask the target
// for what the table contains. An agent that was killed has no table and is not waited for,
// unless it was killed within HandoverTime of a planned stop.
func (c *Core) awaitTable(now time.Duration, a *agent) {
	if a.stopAnnounced > 0 && now-a.stopAnnounced <= c.Policy.HandoverTime {
		a.restoreUntil = now + restoreWindow
	}
}
