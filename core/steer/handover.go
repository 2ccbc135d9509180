package steer

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
)

const (
	// offerTime is the time between two offers of a flow table to its agent.
	offerTime = 60 * time.Millisecond
	// restoreTime is how long after an agent is heard again its flow table may come: two
	// offers, and the parts from another zone.
	restoreTime = 150 * time.Millisecond
	// maxTableBytes bounds the tables that an entry keeps: those of a hundred agents with
	// 500 flows each, or of a dozen with 5,400.
	maxTableBytes = 2 << 20
	// tableFlowBytes is what a flow of a table takes in memory, tablePartBytes what a
	// part takes besides.
	tableFlowBytes = 20
	tablePartBytes = 128
	// keptTableBytes is what a table takes besides its parts.
	keptTableBytes = 1200
)

// keptTables holds the flow tables of agents that stopped a moment ago, the oldest
// first, until they have started again.
type keptTables struct {
	list  []*keptTable
	bytes int
}

// keptTable is the flow table of an agent, as far as its parts came here.
type keptTable struct {
	agent netip.AddrPort
	id    int64
	parts uint8
	got   [relay.MaxParts]*relay.Table
	bytes int
	// since is when the first part came, offered when the table was offered last.
	since   time.Duration
	offered time.Duration
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

// grow counts bytes of a table.
func (t *keptTables) grow(x *keptTable, bytes int) {
	x.bytes += bytes
	t.bytes += bytes
}

// handover handles what agents say of flow tables. It returns whether the message says
// nothing else: a part of a table was sent before the agent's stop, so it may come after
// other messages of that time and does not show that the agent is there.
func (c *Core) handover(now time.Duration, m *AgentMessage) bool {
	t := m.Message.Table
	if t == nil {
		return m.Message.Kind == relay.Handover
	}
	switch m.Message.Kind {
	case relay.Handover:
		c.keepPart(now, m.From, t)

		return true
	case relay.HandoverWanted:
		c.giveBack(m.From, t)
	case relay.HandoverDone:
		if x := c.tables.find(m.From); x != nil && x.id == t.ID {
			c.tables.remove(x)
		}
	}

	return false
}

// keepPart keeps a part of an agent's flow table. The table of an earlier stop is of no
// use any more.
func (c *Core) keepPart(now time.Duration, from netip.AddrPort, t *relay.Table) {
	x := c.tables.find(from)
	if c.Policy.HandoverTime == 0 || x != nil && t.ID < x.id {
		return
	}
	if x != nil && t.ID > x.id {
		c.tables.remove(x)
		x = nil
	}
	if x == nil {
		x = c.keepTable(now, from, t)
	}
	if t.Parts != x.parts || t.Part >= x.parts || x.got[t.Part] != nil {
		return
	}
	x.got[t.Part] = t
	c.tables.grow(x, tablePartBytes+len(t.Flows)*tableFlowBytes)
	c.boundTables(now)
}

func (c *Core) keepTable(now time.Duration, from netip.AddrPort, t *relay.Table) *keptTable {
	x := &keptTable{
		agent: from,
		id:    t.ID,
		parts: min(t.Parts, relay.MaxParts),
		since: now,
		// The entries that have the table got it together. Offers at different times
		// reach an agent sooner after its start.
		offered: now - time.Duration(c.Random.Int64N(int64(offerTime))),
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

// boundTables drops the oldest tables while all take too much memory.
func (c *Core) boundTables(now time.Duration) {
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

// giveBack sends an agent the parts that it asks for, as far as they are here.
func (c *Core) giveBack(to netip.AddrPort, t *relay.Table) {
	x := c.tables.find(to)
	if x == nil || x.id != t.ID {
		return
	}
	for _, part := range t.Wanted {
		if part >= relay.MaxParts || x.got[part] == nil {
			continue
		}
		c.send(to, relay.Message{
			Kind:  relay.HandoverPart,
			Table: x.got[part],
		})
	}
}

// tickTables offers each table to its agent, which may have started again, and forgets
// those that are too old to be taken. An offer is no question: an agent that is away
// does not answer it.
func (c *Core) tickTables(now time.Duration) {
	for len(c.tables.list) > 0 && now-c.tables.list[0].since > c.Policy.HandoverTime {
		c.tables.remove(c.tables.list[0])
	}
	for _, x := range c.tables.list {
		if now-x.offered < offerTime {
			continue
		}
		x.offered = now
		c.send(x.agent, relay.Message{
			Kind: relay.HandoverOffer,
			Table: &relay.Table{
				ID:    x.id,
				Parts: x.parts,
				Age:   now - x.since,
			},
		})
	}
}

// awaitTable notes that an agent which is heard again after a planned stop may be about to
// get its flow table. What it is unsure of until then it corrects: a packet on trial would
// ask the target for what the table tells. An agent that was killed has no table and is
// not waited for, unless it was killed within HandoverTime of a planned stop.
func (c *Core) awaitTable(now time.Duration, a *agent) {
	if a.stopping > 0 && now-a.stopping <= c.Policy.HandoverTime {
		a.restoring = now + restoreTime
	}
}
