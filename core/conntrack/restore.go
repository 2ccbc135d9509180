package conntrack

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// maxRestoreTime bounds how long after its start a process restores the table of the
	// previous one.
	maxRestoreTime = time.Second
	// partTimeout is how long no part may arrive before missing parts are requested again:
	// a round trip to an entry in another zone takes up to 15 ms.
	partTimeout = 20 * time.Millisecond
)

// tableRestore is the state of restoring a flow table that entries return to a process
// that has just started.
type tableRestore struct {
	// startedAt is when the process started, on its own clock.
	startedAt time.Duration
	// ended means that no more parts are accepted.
	ended bool
	// id is the ID of the offered table. parts is the number of its parts, zero until a
	// table is offered.
	id    int64
	parts int
	// received marks the parts that arrived; missing is the number of parts that did not.
	received [relay.MaxParts]bool
	missing  int
	// requested means that parts were requested. lastProgress is when parts were last
	// requested or received.
	requested    bool
	lastProgress time.Duration
	// flows is the number of flows that were restored.
	flows int
	// endedFlows holds the flows that this process knew and that have ended.
	endedFlows map[segment.Key]bool
}

// recordEnded records a flow that has ended, so that a table does not restore it.
func (r *tableRestore) recordEnded(k segment.Key) {
	if r.ended {
		return
	}
	if r.endedFlows == nil {
		r.endedFlows = map[segment.Key]bool{}
	}
	r.endedFlows[k] = true
}

// finish ends the restore and frees its memory.
func (r *tableRestore) finish() {
	r.ended = true
	r.endedFlows = nil
}

// canRestore reports whether a table from before the start is still of use.
func (c *Core) canRestore(now time.Duration) bool {
	return c.Policy.HandoverTime > 0 && !c.restore.ended && !c.Complete && now-c.restore.startedAt <= maxRestoreTime
}

// handleTableMessage handles the offer of a flow table or a part of one.
func (c *Core) handleTableMessage(now time.Duration, m *EntryMessage) {
	t := m.Message.Table
	if t == nil || c.lastStop.active(now) {
		// A table that is offered now is meant for the next process.
		return
	}
	switch m.Message.Kind {
	case relay.HandoverOffer:
		c.handleTableOffer(now, m.From, t)
	case relay.HandoverPart:
		c.mergeTablePart(now, m.From, t)
	}
}

// handleTableOffer requests the missing parts of an offered table, or tells the entry that
// the table is of no use.
func (c *Core) handleTableOffer(now time.Duration, from netip.AddrPort, t *relay.Table) {
	r := &c.restore
	if !c.canRestore(now) || t.Parts == 0 || t.Parts > relay.MaxParts || r.parts > 0 && r.id != t.ID {
		c.sendHandoverDone(from, t.ID)

		return
	}
	if r.parts == 0 {
		r.id = t.ID
		r.parts = int(t.Parts)
		r.missing = r.parts
	}
	if r.requested && now-r.lastProgress < partTimeout {
		return
	}
	r.requested = true
	r.lastProgress = now
	wanted := []uint8{}
	for i := range r.parts {
		if !r.received[i] {
			wanted = append(wanted, uint8(i))
		}
	}
	c.sendToEntry(from, relay.Message{
		Kind: relay.HandoverWanted,
		Table: &relay.Table{
			ID:     r.id,
			Wanted: wanted,
		},
	})
}

// tableAge returns how long ago a table was written, by this VM's clock. It is only logged:
// the clock may have been set since.
func (c *Core) tableAge(now time.Duration, id int64) time.Duration {
	return time.Duration(c.wallClock(now)-id) * time.Millisecond
}

func (c *Core) sendHandoverDone(to netip.AddrPort, id int64) {
	c.sendToEntry(to, relay.Message{
		Kind: relay.HandoverDone,
		Table: &relay.Table{
			ID: id,
		},
	})
}

// mergeTablePart merges a part of the table. Parts may be lost, duplicated or reordered.
func (c *Core) mergeTablePart(now time.Duration, from netip.AddrPort, t *relay.Table) {
	r := &c.restore
	part := int(t.Part)
	if !c.canRestore(now) || t.ID != r.id || int(t.Parts) != r.parts || part >= r.parts || r.received[part] {
		return
	}
	r.received[part] = true
	r.missing--
	r.lastProgress = now
	for i := range t.Flows {
		c.restoreFlow(now, &t.Flows[i])
	}
	if r.missing > 0 {
		return
	}
	c.sendHandoverDone(from, r.id)
	c.finishRestore(now)
}

// restoreFlow adds a flow of the table, unless this process has newer knowledge of it. A flow
// that was held or assumed stays so: if the target has ended it since, the target's reaction
// shows this. Of an answered flow the table does not tell which target the caller chose, nor
// how far the flow went under a process in between, so the target decides.
func (c *Core) restoreFlow(now time.Duration, x *relay.TableFlow) {
	if c.restore.endedFlows[x.Key] {
		return
	}
	if f, known := c.flows[x.Key]; known {
		if x.State == relay.FlowHeld && (f.state == stateProbed || f.state == stateAssumed) {
			c.adopt(now, x.Key, f)
			c.restore.flows++
		}

		return
	}
	f := &flow{
		lastUsed: now - time.Duration(x.Idle)*time.Second,
	}
	f.openedAt = f.lastUsed
	switch x.State {
	case relay.FlowAnswered:
		f.state = stateProbed
	case relay.FlowHeld:
		f.state = stateHeld
		f.lastAck = x.Seq
		f.sentEnd = x.Seq
		f.sentEndKnown = true
	case relay.FlowAssumed:
		f.state = stateAssumed
		f.lastAck = x.Seq
	default:
		return
	}
	c.flows[x.Key] = f
	c.restore.flows++
}

// finishRestore ends the restore and logs its result. The table does not make the process
// sure of the flows that it lacks: another process may have run between the stop and this
// one, opened flows and ended without a table.
func (c *Core) finishRestore(now time.Duration) {
	r := &c.restore
	decision := Restored
	if r.missing > 0 {
		decision = RestoredIncomplete
	}
	c.sweep(now)
	c.commands = append(c.commands, Note{
		Decision: decision,
		Count:    r.flows,
		TableAge: c.tableAge(now, r.id),
	})
	r.finish()
}

// expireRestore ends a restore whose parts have not arrived within maxRestoreTime.
func (c *Core) expireRestore(now time.Duration) {
	r := &c.restore
	switch {
	case r.ended || now-r.startedAt <= maxRestoreTime:
	case r.parts > 0:
		c.finishRestore(now)
	default:
		r.finish()
	}
}
