package conntrack

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// restartedCore returns the next process, just started, the given time after the stop.
func restartedCore(after time.Duration) *Core {
	c := &Core{
		Started: startedAt + (stopAt + after).Milliseconds(),
	}
	c.Update(0, Tick{})

	return c
}

// offerMessage returns an entry's offer of a table.
func offerMessage(from netip.AddrPort, t *relay.Table) *EntryMessage {
	return &EntryMessage{
		From: from,
		Message: relay.Message{
			Kind: relay.HandoverOffer,
			Table: &relay.Table{
				ID:    t.ID,
				Parts: t.Parts,
			},
		},
	}
}

// partMessage returns an entry's message that returns a part of a table.
func partMessage(from netip.AddrPort, t *relay.Table) *EntryMessage {
	return &EntryMessage{
		From: from,
		Message: relay.Message{
			Kind:  relay.HandoverPart,
			Table: t,
		},
	}
}

// tableReply returns what the agent tells an entry about a table.
func tableReply(commands []Command) (relay.Kind, *relay.Table) {
	for _, x := range commands {
		if x, ok := x.(ToEntry); ok && x.Message.Table != nil {
			return x.Message.Kind, x.Message.Table
		}
	}

	return 0, nil
}

// restoredCore returns the next process, which has restored the whole table 20 ms after
// its start.
func restoredCore(parts []*relay.Table) *Core {
	c := restartedCore(downtime)
	c.Update(0, offerMessage(testEntry, parts[0]))
	for _, t := range parts {
		c.Update(20*time.Millisecond, partMessage(testEntry, t))
	}

	return c
}

// lookupReply returns the agent's answer to the lookup of a flow.
func lookupReply(c *Core, now time.Duration, k segment.Key) relay.Kind {
	return entryReply(c.Update(now, &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind: relay.Find,
			Key:  k,
		},
	}))
}

// Guards against flows that are treated differently after a planned stop. Held flows are
// owned and passed on. Of an answered flow, and of one that the table lacks, the target
// decides: a process between the stop and the start may have seen more of it.
func TestRestoredFlows(t *testing.T) {
	is := is.New(t)
	c := restoredCore(handoverTable(stoppingCore(5, 3)))
	now := 30 * time.Millisecond
	is.True(!c.Complete)
	is.Equal(lookupReply(c, now, flowKey(0)), relay.Unsure)
	is.Equal(lookupReply(c, now, flowKey(1)), relay.Unsure)
	is.Equal(lookupReply(c, now, flowKey(2)), relay.Owned)
	is.Equal(lookupReply(c, now, flowKey(9)), relay.Unsure)
	is.Equal(c.activeFlows, 3)
	is.Equal(c.demand(), 0.0)

	confirm := relay.Message{
		Kind: relay.Confirm,
		Key:  flowKey(0),
	}
	commands := c.Update(now, messageFrom(testEntry, confirm, segment.ACK, answerSeq+2))
	is.True(forwarded(commands))
	is.Equal(entryReply(commands), relay.Kind(0))
	c.Update(now, packetFromTarget(flowKey(0), segment.ACK, 1))
	is.Equal(lookupReply(c, now, flowKey(0)), relay.Owned)

	held := relay.Message{
		Kind: relay.Deliver,
		Key:  flowKey(2),
	}
	is.True(forwarded(c.Update(now, messageFrom(testEntry, held, segment.ACK, 9))))
	resets := map[segment.Key]uint32{}
	for _, x := range c.Update(now, TargetRefused{}) {
		if x, ok := x.(Reset); ok {
			resets[x.Key] = x.Seq
		}
	}
	is.Equal(resets[flowKey(2)], uint32(9))
	is.Equal(resets[flowKey(3)], uint32(ackSeq))
}

// Guards against an agent that takes a table for complete with a part missing, or that
// needs every datagram to arrive. Parts are lost, duplicated and reordered, and an entry
// may not have all of them.
func TestTablePartsLostAndReordered(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(3*relay.MaxFlows-10, 3))
	is.Equal(len(parts), 3)
	c := restartedCore(downtime)
	k, wanted := tableReply(c.Update(0, offerMessage(entryAddr(1), parts[0])))
	is.Equal(k, relay.HandoverWanted)
	is.Equal(wanted.Wanted, []uint8{0, 1, 2})
	// Another entry offers the same table while its parts may be in transit.
	k, _ = tableReply(c.Update(time.Millisecond, offerMessage(entryAddr(2), parts[0])))
	is.Equal(k, relay.Kind(0))
	for _, i := range []int{2, 0, 2, 0} {
		c.Update(5*time.Millisecond, partMessage(entryAddr(1), parts[i]))
	}
	is.True(!c.restore.ended)
	is.Equal(lookupReply(c, 6*time.Millisecond, parts[2].Flows[1].Key), relay.Owned)
	k, wanted = tableReply(c.Update(60*time.Millisecond, offerMessage(entryAddr(2), parts[0])))
	is.Equal(k, relay.HandoverWanted)
	is.Equal(wanted.Wanted, []uint8{1})
	k, _ = tableReply(c.Update(65*time.Millisecond, partMessage(entryAddr(2), parts[1])))
	is.Equal(k, relay.HandoverDone)
	is.True(c.restore.ended)
	is.Equal(c.Flows(), 3*relay.MaxFlows-10-1)
	for _, from := range []int{1, 2} {
		k, done := tableReply(c.Update(120*time.Millisecond, offerMessage(entryAddr(from), parts[0])))
		is.Equal(k, relay.HandoverDone)
		is.Equal(done.ID, parts[0].ID)
	}
}

// Guards against an agent that claims to know all flows although a part never arrived.
func TestMissingTablePart(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(2*relay.MaxFlows, 3))
	c := restartedCore(downtime)
	c.Update(0, offerMessage(testEntry, parts[0]))
	c.Update(0, partMessage(testEntry, parts[0]))
	notes := 0
	for now := time.Duration(0); now < 2*maxRestoreTime; now += TickTime {
		for _, x := range c.Update(now, Tick{}) {
			if n, ok := x.(Note); ok && n.Decision == RestoredIncomplete {
				notes++
			}
		}
	}
	is.Equal(notes, 1)
	c.Update(2*maxRestoreTime, partMessage(testEntry, parts[1]))
	is.True(!c.Complete)
	is.Equal(lookupReply(c, 2*maxRestoreTime, flowKey(5000)), relay.Unsure)
}

// Guards against a table that is taken for all that the target holds: an agent stops as planned,
// the next process opens a flow and is killed before a table of its own exists, and the third is
// offered the first one's. No delay and no clock tells the third process from the second.
func TestTableOfEarlierProcessIsNotWhole(t *testing.T) {
	parts := handoverTable(stoppingCore(5, 3))
	opened := flowKey(9)
	for _, restarts := range []time.Duration{0, 30 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second} {
		for _, clockSet := range []time.Duration{-3 * time.Second, -100 * time.Millisecond, 0, 350 * time.Millisecond, 3 * time.Second} {
			is := is.New(t)
			second := restartedCore(restarts)
			is.True(forwarded(second.Update(time.Millisecond, openMessage(opened, 0))))
			second.Update(time.Millisecond, packetFromTarget(opened, segment.SYN|segment.ACK, 0))

			third := restartedCore(2*restarts + clockSet)
			third.Update(0, offerMessage(testEntry, parts[0]))
			third.Update(time.Millisecond, partMessage(testEntry, parts[0]))
			now := maxRestoreTime + TickTime
			third.Update(now, Tick{})
			is.Equal(lookupReply(third, now, flowKey(2)), relay.Owned)
			is.Equal(lookupReply(third, now, opened), relay.Unsure)
			is.True(forwarded(third.Update(now, messageFrom(testEntry, relay.Message{
				Kind: relay.Probe,
				Key:  opened,
			}, segment.ACK, answerSeq+1))))
		}
	}
}

// Guards against an answered flow that goes on under the next process and is denied by the one
// after it, whose table says that the flow was only answered.
func TestAnsweredFlowOfTableMayHaveGoneOn(t *testing.T) {
	is := is.New(t)
	c := restoredCore(handoverTable(stoppingCore(5, 3)))
	is.True(forwarded(c.Update(30*time.Millisecond, messageFrom(testEntry, relay.Message{
		Kind: relay.Deliver,
		Key:  flowKey(0),
	}, segment.ACK, answerSeq+5000))))
}

// Guards against a table that is restored long after the start, when the process knows better.
func TestLateTableIsRejected(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(5, 3))
	c := restartedCore(downtime)
	late := maxRestoreTime + time.Millisecond
	k, _ := tableReply(c.Update(late, offerMessage(testEntry, parts[0])))
	is.Equal(k, relay.HandoverDone)
	c.Update(late, partMessage(testEntry, parts[0]))
	is.Equal(c.Flows(), 0)
}

// Guards against a process that accepts parts of a table that it was not offered, and
// whose age it therefore does not know.
func TestPartWithoutOffer(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(5, 3))
	c := restartedCore(downtime)
	c.Update(0, partMessage(testEntry, parts[0]))
	is.Equal(c.Flows(), 0)
	other := *parts[0]
	other.ID--
	c.Update(0, offerMessage(testEntry, parts[0]))
	c.Update(0, partMessage(testEntry, &other))
	is.Equal(c.Flows(), 0)
	k, _ := tableReply(c.Update(time.Millisecond, offerMessage(testEntry, &other)))
	is.Equal(k, relay.HandoverDone)
}

// Guards against an agent that takes its knowledge for complete because of a table from an
// agent whose knowledge was not.
func TestTableOfIncompleteAgent(t *testing.T) {
	is := is.New(t)
	old := stoppingCore(5, 3)
	old.Complete = false
	old.Update(stopAt, messageFrom(testEntry, relay.Message{
		Kind: relay.Probe,
		Key:  flowKey(7),
	}, segment.ACK, 1))
	c := restoredCore(handoverTable(old))
	now := 30 * time.Millisecond
	is.True(!c.Complete)
	is.Equal(lookupReply(c, now, flowKey(2)), relay.Owned)
	is.Equal(lookupReply(c, now, flowKey(7)), relay.Unsure)
	is.Equal(lookupReply(c, now, flowKey(9)), relay.Unsure)
	k, _ := tableReply(c.Update(now, offerMessage(testEntry, &relay.Table{
		ID:    startedAt + stopAt.Milliseconds(),
		Parts: 1,
	})))
	is.Equal(k, relay.HandoverDone)
}

// Guards against a table that revives a flow which has ended since the start, or
// overwrites the state of one that was opened since.
func TestNewerStateOverridesTable(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(8, 3))
	c := restartedCore(downtime)
	c.Update(0, offerMessage(testEntry, parts[0]))
	deliver := func(i int) {
		c.Update(time.Millisecond, messageFrom(testEntry, relay.Message{
			Kind: relay.Deliver,
			Key:  flowKey(i),
		}, segment.ACK, ackSeq))
	}
	// Flow 2: the target answers, then no longer holds the flow. Flow 3: the target
	// bounces the flow's packet. Flow 4: the target resets the flow. Flow 5: a caller
	// opens a flow with the same key. Flow 6: a packet is on its way to the target.
	deliver(2)
	c.Update(time.Millisecond, packetFromTarget(flowKey(2), segment.ACK, 1))
	c.Update(time.Millisecond, packetFromTarget(flowKey(2), segment.ACK|segment.Bounced, 1))
	deliver(3)
	c.Update(time.Millisecond, packetFromTarget(flowKey(3), segment.ACK|segment.Bounced, 1))
	c.Update(time.Millisecond, packetFromTarget(flowKey(4), segment.RST, 0))
	c.Update(time.Millisecond, openMessage(flowKey(5), 0))
	deliver(6)
	c.Update(2*time.Millisecond, partMessage(testEntry, parts[0]))
	now := 3 * time.Millisecond
	is.True(c.restore.ended)
	is.Equal(lookupReply(c, now, flowKey(2)), relay.NotOwned)
	is.Equal(lookupReply(c, now, flowKey(3)), relay.NotOwned)
	is.Equal(c.flows[flowKey(4)].state, stateEnded)
	is.Equal(c.flows[flowKey(5)].state, stateSYNPassed)
	is.Equal(lookupReply(c, now, flowKey(6)), relay.Owned)
	is.Equal(lookupReply(c, now, flowKey(7)), relay.Owned)
	is.Equal(len(c.restore.endedFlows), 0)
}

// Guards against a target that restarted together with its agent and is credited with the
// flows of its predecessor for longer than until it bounces the first packet of each.
func TestBouncedFlowOfTable(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(5, 3))
	c := restoredCore(parts)
	is.Equal(lookupReply(c, time.Millisecond, flowKey(2)), relay.Owned)
	c.Update(time.Millisecond, messageFrom(testEntry, relay.Message{
		Kind: relay.Deliver,
		Key:  flowKey(2),
	}, segment.ACK, ackSeq))
	commands := c.Update(time.Millisecond, packetFromTarget(flowKey(2), segment.ACK|segment.Bounced, 1))
	is.True(slices.ContainsFunc(commands, func(x Command) bool {
		reset, ok := x.(Reset)

		return ok && reset.Key == flowKey(2)
	}))
	is.Equal(lookupReply(c, 2*time.Millisecond, flowKey(2)), relay.NotOwned)
}

// Guards against a table that is handed over or restored although the policy disables it.
func TestHandoverDisabledByPolicy(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(5, 3))
	p := DefaultPolicy()
	p.HandoverTime = 0
	c := stoppingCore(5, 3)
	c.Policy = &p
	is.Equal(len(handoversByEntry(c.Update(stopAt, Stop{}))), 0)
	c = restartedCore(downtime)
	c.Policy = &p
	k, _ := tableReply(c.Update(0, offerMessage(testEntry, parts[0])))
	is.Equal(k, relay.HandoverDone)
}

// Guards against an owner search that ends with a wrong answer, or none, from an agent
// that restores its table a moment later. Earlier answers are corrected, and lookups that
// arrive in between are deferred.
func TestLookupsBeforeTable(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(5, 3))
	c := restartedCore(downtime)
	is.Equal(lookupReply(c, 0, flowKey(2)), relay.Unsure)
	c.Update(time.Millisecond, offerMessage(testEntry, parts[0]))
	is.Equal(lookupReply(c, 2*time.Millisecond, flowKey(3)), relay.Kind(0))
	is.Equal(lookupReply(c, 2*time.Millisecond, flowKey(9)), relay.Kind(0))
	answers := map[segment.Key]relay.Kind{}
	for _, x := range c.Update(3*time.Millisecond, partMessage(testEntry, parts[0])) {
		if x, ok := x.(ToEntry); ok && x.Message.Kind == relay.Answers {
			for i, k := range x.Message.Keys {
				answers[k] = x.Message.Ownership[i]
			}
		}
	}
	is.Equal(answers, map[segment.Key]relay.Kind{
		flowKey(2): relay.Owned,
		flowKey(3): relay.Owned,
		flowKey(9): relay.Unsure,
	})
	is.Equal(len(c.lookups), 0)
}

// Guards against lookups that are never answered because the parts of a table do not
// arrive.
func TestLookupsWithoutTable(t *testing.T) {
	is := is.New(t)
	parts := handoverTable(stoppingCore(5, 3))
	c := restartedCore(downtime)
	c.Update(0, offerMessage(testEntry, parts[0]))
	is.Equal(lookupReply(c, time.Millisecond, flowKey(3)), relay.Kind(0))
	is.Equal(len(c.Update(maxLookupWait-1, Tick{})), 0)
	is.Equal(entryReply(c.Update(maxLookupWait, Tick{})), relay.Answers)
	is.Equal(lookupReply(c, maxLookupWait, flowKey(3)), relay.Unsure)
	is.Equal(len(c.Update(maxLookupWait+TickTime, Tick{})), 0)
	c.Update(maxRestoreTime+TickTime, Tick{})
	is.Equal(len(c.lookups), 0)
}
