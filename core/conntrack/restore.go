package conntrack

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// restoreTime is how long after its start a process takes the table of the one before.
	restoreTime = time.Second
	// restoreQuiet is how long no part may come before missing ones are asked for again:
	// the way to an entry in another zone and back takes up to 15 ms.
	restoreQuiet = 20 * time.Millisecond
	// wallSlack is how much older than at the entry a table may be by the clock of this
	// VM: it was on its way, and both processes know the time to a tick.
	wallSlack = 50 * time.Millisecond
)

// restoring is the way of a flow table from entries to a process that has just started.
type restoring struct {
	// began is when the process started, on its own clock.
	began time.Duration
	// ended means that no part is taken any more.
	ended bool
	// id is that of the table that was offered; parts is the number of its parts, zero
	// before an offer.
	id    int64
	parts int
	// got are the parts that came, missing is the number of the others.
	got     [relay.MaxParts]bool
	missing int
	// unsure means that the table may lack flows.
	unsure bool
	// asked means that parts were asked for; last is when that was, or one came.
	asked bool
	last  time.Duration
	// flows is the number of flows that were restored.
	flows int
	// gone holds the flows that this process knew and that have ended.
	gone map[segment.Key]bool
}

// forgot notes a flow that has ended, so that a table does not bring it back.
func (r *restoring) forgot(k segment.Key) {
	if r.ended {
		return
	}
	if r.gone == nil {
		r.gone = map[segment.Key]bool{}
	}
	r.gone[k] = true
}

// end stops the restore and frees what it held.
func (r *restoring) end() {
	r.ended = true
	r.gone = nil
}

// restores reports whether a table from before the start is of use.
func (c *Core) restores(now time.Duration) bool {
	return c.Policy.HandoverTime > 0 && !c.restore.ended && !c.Complete && now-c.restore.began <= restoreTime
}

// tableMessage handles what entries say of flow tables.
func (c *Core) tableMessage(now time.Duration, m *EntryMessage) {
	t := m.Message.Table
	if t == nil || c.stopped.active(now) {
		// What is offered now is for the next process.
		return
	}
	switch m.Message.Kind {
	case relay.HandoverOffer:
		c.offered(now, m.From, t)
	case relay.HandoverPart:
		c.tablePart(now, m.From, t)
	}
}

// offered asks for the parts of a table, or tells the entry that it is of no use.
func (c *Core) offered(now time.Duration, from netip.AddrPort, t *relay.Table) {
	r := &c.restore
	if !c.restores(now) || !c.tableFresh(now, t) || r.parts > 0 && r.id != t.ID {
		c.tableDone(from, t.ID)

		return
	}
	if r.parts == 0 {
		r.id = t.ID
		r.parts = int(t.Parts)
		r.missing = r.parts
	}
	if r.asked && now-r.last < restoreQuiet {
		return
	}
	r.asked = true
	r.last = now
	wanted := []uint8{}
	for i := range r.parts {
		if !r.got[i] {
			wanted = append(wanted, uint8(i))
		}
	}
	c.answer(from, relay.Message{
		Kind: relay.HandoverWanted,
		Table: &relay.Table{
			ID:     r.id,
			Wanted: wanted,
		},
	})
}

// tableFresh reports whether a table is of the process right before this one: no other can
// have started, opened flows and ended since. The entry's clock does not count the time
// that the table was on its way or that the entry stood still; this VM's clock may be set.
func (c *Core) tableFresh(now time.Duration, t *relay.Table) bool {
	age := c.tableAge(now, t.ID)

	return t.Parts > 0 && t.Parts <= relay.MaxParts && t.Age <= c.Policy.HandoverTime && age >= 0 && age <= c.Policy.HandoverTime+wallSlack
}

// tableAge returns how long ago the process before wrote a table, by this VM's clock.
func (c *Core) tableAge(now time.Duration, id int64) time.Duration {
	return time.Duration(c.wall(now)-id) * time.Millisecond
}

func (c *Core) tableDone(to netip.AddrPort, id int64) {
	c.answer(to, relay.Message{
		Kind: relay.HandoverDone,
		Table: &relay.Table{
			ID: id,
		},
	})
}

// tablePart merges a part of the table. Parts may be lost, doubled and out of order.
func (c *Core) tablePart(now time.Duration, from netip.AddrPort, t *relay.Table) {
	r := &c.restore
	part := int(t.Part)
	if !c.restores(now) || t.ID != r.id || int(t.Parts) != r.parts || part >= r.parts || r.got[part] {
		return
	}
	r.got[part] = true
	r.missing--
	r.last = now
	r.unsure = r.unsure || !t.Complete
	for i := range t.Flows {
		c.restoreFlow(now, &t.Flows[i])
	}
	if r.missing > 0 {
		return
	}
	c.tableDone(from, r.id)
	c.endRestore(now)
}

// restoreFlow adds a flow of the table, unless this process knows better.
func (c *Core) restoreFlow(now time.Duration, x *relay.TableFlow) {
	if c.restore.gone[x.Key] {
		return
	}
	if f, known := c.flows[x.Key]; known {
		if x.State == relay.FlowHeld && (f.state == stateProbed || f.state == stateAssumed) {
			c.hold(now, x.Key, f)
			c.restore.flows++
		}

		return
	}
	f := &flow{
		used: now - time.Duration(x.Idle)*time.Second,
	}
	f.opened = f.used
	switch x.State {
	case relay.FlowAnswered:
		f.state = stateAnswered
		f.synAck = x.Seq
		f.sent = x.Seq
		f.located = true
	case relay.FlowHeld:
		f.state = stateHeld
		f.ack = x.Seq
		f.sent = x.Seq
		f.located = true
	case relay.FlowAssumed:
		f.state = stateAssumed
		f.ack = x.Seq
	default:
		return
	}
	c.flows[x.Key] = f
	c.restore.flows++
}

// endRestore tells what came of the table. The process knows all flows of its target if
// the one before did and every part came.
func (c *Core) endRestore(now time.Duration) {
	r := &c.restore
	decision := Restored
	if r.missing > 0 || r.unsure {
		decision = RestoredUnsure
	} else {
		c.Complete = true
	}
	c.sweep(now)
	c.commands = append(c.commands, Note{
		Decision: decision,
		Count:    r.flows,
		TableAge: c.tableAge(now, r.id),
	})
	r.end()
}

// tickRestore gives up a table whose parts have not come in time.
func (c *Core) tickRestore(now time.Duration) {
	r := &c.restore
	switch {
	case r.ended || now-r.began <= restoreTime:
	case r.parts > 0 && !c.Complete:
		c.endRestore(now)
	default:
		r.end()
	}
}
