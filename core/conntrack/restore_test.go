package conntrack

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// nextCore returns the next process, so long after the stop, which has just started.
func nextCore(after time.Duration) *Core {
	c := &Core{
		Started: bornAt + (stopAt + after).Milliseconds(),
	}
	c.Update(0, Tick{})

	return c
}

// offer returns an entry's offer of a table.
func offer(from netip.AddrPort, t *relay.Table, age time.Duration) *EntryMessage {
	return &EntryMessage{
		From: from,
		Message: relay.Message{
			Kind: relay.HandoverOffer,
			Table: &relay.Table{
				ID:    t.ID,
				Parts: t.Parts,
				Age:   age,
			},
		},
	}
}

// part returns a part that an entry gives back.
func part(from netip.AddrPort, t *relay.Table) *EntryMessage {
	return &EntryMessage{
		From: from,
		Message: relay.Message{
			Kind:  relay.HandoverPart,
			Table: t,
		},
	}
}

// tableAnswer returns what the agent tells an entry about a table.
func tableAnswer(commands []Command) (relay.Kind, *relay.Table) {
	for _, x := range commands {
		if x, ok := x.(ToEntry); ok && x.Message.Table != nil {
			return x.Message.Kind, x.Message.Table
		}
	}

	return 0, nil
}

// restored returns the next process with the whole table, after 20 ms.
func restored(parts []*relay.Table) *Core {
	c := nextCore(awayFor)
	c.Update(0, offer(testEntry, parts[0], awayFor))
	for _, t := range parts {
		c.Update(20*time.Millisecond, part(testEntry, t))
	}

	return c
}

// askedFor returns what the agent tells of a flow.
func askedFor(c *Core, now time.Duration, k segment.Key) relay.Kind {
	return answerOf(c.Update(now, &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind: relay.Find,
			Key:  k,
		},
	}))
}

// Guards against flows that behave otherwise after a planned stop: held ones are owned and
// passed on, of an answered one only the packet that chose this target is, and what is not
// in a complete table is not held.
func TestRestoredFlows(t *testing.T) {
	is := is.New(t)
	c := restored(handover(stoppingCore(5, 3)))
	now := 30 * time.Millisecond
	is.True(c.Complete)
	is.Equal(askedFor(c, now, flowKey(0)), relay.Unsure)
	is.Equal(askedFor(c, now, flowKey(1)), relay.NotOwned)
	is.Equal(askedFor(c, now, flowKey(2)), relay.Owned)
	is.Equal(askedFor(c, now, flowKey(9)), relay.NotOwned)
	is.Equal(c.active, 3)
	is.Equal(c.demand(), 0.0)

	confirm := relay.Message{
		Kind: relay.Confirm,
		Key:  flowKey(0),
	}
	is.True(!passed(c.Update(now, sentTo(testEntry, confirm, segment.ACK, answerSeq+2))))
	is.True(passed(c.Update(now, sentTo(testEntry, confirm, segment.ACK, answerSeq+1))))
	is.Equal(askedFor(c, now, flowKey(0)), relay.Owned)

	held := relay.Message{
		Kind: relay.Deliver,
		Key:  flowKey(2),
	}
	is.True(passed(c.Update(now, sentTo(testEntry, held, segment.ACK, 9))))
	resets := map[segment.Key]uint32{}
	for _, x := range c.Update(now, TargetRefused{}) {
		if x, ok := x.(Reset); ok {
			resets[x.Key] = x.Seq
		}
	}
	is.Equal(resets[flowKey(2)], uint32(9))
	is.Equal(resets[flowKey(3)], uint32(ackSeq))
}

// Guards against an agent that takes a table for whole with a part missing, or needs every
// datagram to arrive: parts are lost, doubled and out of order, and entries have not all.
func TestTableInParts(t *testing.T) {
	is := is.New(t)
	parts := handover(stoppingCore(3*relay.MaxFlows-10, 3))
	is.Equal(len(parts), 3)
	c := nextCore(awayFor)
	k, wanted := tableAnswer(c.Update(0, offer(entryAt(1), parts[0], awayFor)))
	is.Equal(k, relay.HandoverWanted)
	is.Equal(wanted.Wanted, []uint8{0, 1, 2})
	// The same table at another entry: its parts may be on their way.
	k, _ = tableAnswer(c.Update(time.Millisecond, offer(entryAt(2), parts[0], awayFor)))
	is.Equal(k, relay.Kind(0))
	for _, i := range []int{2, 0, 2, 0} {
		c.Update(5*time.Millisecond, part(entryAt(1), parts[i]))
	}
	is.True(!c.Complete)
	is.Equal(askedFor(c, 6*time.Millisecond, parts[2].Flows[1].Key), relay.Owned)
	k, wanted = tableAnswer(c.Update(60*time.Millisecond, offer(entryAt(2), parts[0], awayFor)))
	is.Equal(k, relay.HandoverWanted)
	is.Equal(wanted.Wanted, []uint8{1})
	k, _ = tableAnswer(c.Update(65*time.Millisecond, part(entryAt(2), parts[1])))
	is.Equal(k, relay.HandoverDone)
	is.True(c.Complete)
	is.Equal(c.Flows(), 3*relay.MaxFlows-10-1)
	for _, from := range []int{1, 2} {
		k, done := tableAnswer(c.Update(120*time.Millisecond, offer(entryAt(from), parts[0], awayFor)))
		is.Equal(k, relay.HandoverDone)
		is.Equal(done.ID, parts[0].ID)
	}
}

// Guards against an agent that says it knows all flows though a part never came.
func TestTableNeverWhole(t *testing.T) {
	is := is.New(t)
	parts := handover(stoppingCore(2*relay.MaxFlows, 3))
	c := nextCore(awayFor)
	c.Update(0, offer(testEntry, parts[0], awayFor))
	c.Update(0, part(testEntry, parts[0]))
	notes := 0
	for now := time.Duration(0); now < 2*restoreTime; now += TickTime {
		for _, x := range c.Update(now, Tick{}) {
			if n, ok := x.(Note); ok && n.Decision == RestoredUnsure {
				notes++
			}
		}
	}
	is.Equal(notes, 1)
	c.Update(2*restoreTime, part(testEntry, parts[1]))
	is.True(!c.Complete)
	is.Equal(askedFor(c, 2*restoreTime, flowKey(5000)), relay.Unsure)
}

// Guards against a table from before an unplanned kill that is taken as complete: an agent
// stops, comes back, opens a flow, is killed and comes back. Entries count the age from
// when they read the table, and one that stood still read it late.
func TestOldTableIsNotTaken(t *testing.T) {
	parts := handover(stoppingCore(5, 3))
	for name, x := range map[string]struct {
		back    time.Duration
		age     time.Duration
		started time.Duration
	}{
		"old at the entry": {
			back: awayFor,
			age:  901 * time.Millisecond,
		},
		"entry stood still": {
			back: 2 * awayFor,
			age:  100 * time.Millisecond,
		},
		"clock of the VM was set back": {
			back: -time.Millisecond,
			age:  awayFor,
		},
		"process started long ago": {
			back:    awayFor - 200*time.Millisecond,
			age:     awayFor,
			started: restoreTime + time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := nextCore(x.back - x.started)
			k, _ := tableAnswer(c.Update(x.started, offer(testEntry, parts[0], x.age)))
			is.Equal(k, relay.HandoverDone)
			c.Update(x.started, part(testEntry, parts[0]))
			is.True(!c.Complete)
			is.Equal(c.Flows(), 0)
		})
	}
}

// Guards against a process that takes parts of a table that it did not ask for, of which it
// knows no age.
func TestPartWithoutOffer(t *testing.T) {
	is := is.New(t)
	parts := handover(stoppingCore(5, 3))
	c := nextCore(awayFor)
	c.Update(0, part(testEntry, parts[0]))
	is.Equal(c.Flows(), 0)
	other := *parts[0]
	other.ID--
	c.Update(0, offer(testEntry, parts[0], awayFor))
	c.Update(0, part(testEntry, &other))
	is.Equal(c.Flows(), 0)
	k, _ := tableAnswer(c.Update(time.Millisecond, offer(testEntry, &other, awayFor)))
	is.Equal(k, relay.HandoverDone)
}

// Guards against an agent that becomes sure through the table of one that was not.
func TestUnsureTable(t *testing.T) {
	is := is.New(t)
	old := stoppingCore(5, 3)
	old.Complete = false
	old.Update(stopAt, sentTo(testEntry, relay.Message{
		Kind: relay.Probe,
		Key:  flowKey(7),
	}, segment.ACK, 1))
	c := restored(handover(old))
	now := 30 * time.Millisecond
	is.True(!c.Complete)
	is.Equal(askedFor(c, now, flowKey(2)), relay.Owned)
	is.Equal(askedFor(c, now, flowKey(7)), relay.Unsure)
	is.Equal(askedFor(c, now, flowKey(9)), relay.Unsure)
	k, _ := tableAnswer(c.Update(now, offer(testEntry, &relay.Table{
		ID:    bornAt + stopAt.Milliseconds(),
		Parts: 1,
	}, awayFor)))
	is.Equal(k, relay.HandoverDone)
}

// Guards against a flow that the table brings back though it has ended since the start, and
// against one that was opened since and loses its state.
func TestNewsSinceTheStartWins(t *testing.T) {
	is := is.New(t)
	parts := handover(stoppingCore(8, 3))
	c := nextCore(awayFor)
	c.Update(0, offer(testEntry, parts[0], awayFor))
	deliver := func(i int) {
		c.Update(time.Millisecond, sentTo(testEntry, relay.Message{
			Kind: relay.Deliver,
			Key:  flowKey(i),
		}, segment.ACK, ackSeq))
	}
	// 2: the target answers, then no longer holds the flow. 3: it bounces the flow's
	// packet. 4: it resets the flow. 5: a caller opens a flow of the same key. 6: a
	// packet is on its way to the target.
	deliver(2)
	c.Update(time.Millisecond, targetSends(flowKey(2), segment.ACK, 1))
	c.Update(time.Millisecond, targetSends(flowKey(2), segment.ACK|segment.Bounced, 1))
	deliver(3)
	c.Update(time.Millisecond, targetSends(flowKey(3), segment.ACK|segment.Bounced, 1))
	c.Update(time.Millisecond, targetSends(flowKey(4), segment.RST, 0))
	c.Update(time.Millisecond, openMessage(flowKey(5), 0))
	deliver(6)
	c.Update(2*time.Millisecond, part(testEntry, parts[0]))
	now := 3 * time.Millisecond
	is.True(c.Complete)
	is.Equal(askedFor(c, now, flowKey(2)), relay.NotOwned)
	is.Equal(askedFor(c, now, flowKey(3)), relay.NotOwned)
	is.Equal(c.flows[flowKey(4)].state, stateEnded)
	is.Equal(c.flows[flowKey(5)].state, statePlaced)
	is.Equal(askedFor(c, now, flowKey(6)), relay.Owned)
	is.Equal(askedFor(c, now, flowKey(7)), relay.Owned)
	is.Equal(len(c.restore.gone), 0)
}

// Guards against a target that started anew, beside its agent, and gets the flows of the
// one before.
func TestFreshTargetTakesNoTable(t *testing.T) {
	is := is.New(t)
	parts := handover(stoppingCore(5, 3))
	c := nextCore(awayFor)
	c.Update(0, offer(testEntry, parts[0], awayFor))
	c.Update(0, &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind: relay.Find,
			Key:  flowKey(2),
			Born: c.Started,
		},
	})
	c.Update(time.Millisecond, part(testEntry, parts[0]))
	is.Equal(askedFor(c, time.Millisecond, flowKey(2)), relay.NotOwned)
}

// Guards against a table that is handed over or taken although the policy says no.
func TestNoHandoverByPolicy(t *testing.T) {
	is := is.New(t)
	parts := handover(stoppingCore(5, 3))
	p := DefaultPolicy()
	p.HandoverTime = 0
	c := stoppingCore(5, 3)
	c.Policy = &p
	is.Equal(len(handedOver(c.Update(stopAt, Stop{}))), 0)
	c = nextCore(awayFor)
	c.Policy = &p
	k, _ := tableAnswer(c.Update(0, offer(testEntry, parts[0], 0)))
	is.Equal(k, relay.HandoverDone)
}

// Guards against a search that ends with a wrong or missing word of an agent that gets its
// table a moment later: what was told before is corrected, what is asked meanwhile waits.
func TestQuestionsBeforeTheTable(t *testing.T) {
	is := is.New(t)
	parts := handover(stoppingCore(5, 3))
	c := nextCore(awayFor)
	is.Equal(askedFor(c, 0, flowKey(2)), relay.Unsure)
	c.Update(time.Millisecond, offer(testEntry, parts[0], awayFor))
	is.Equal(askedFor(c, 2*time.Millisecond, flowKey(3)), relay.Kind(0))
	is.Equal(askedFor(c, 2*time.Millisecond, flowKey(9)), relay.Kind(0))
	told := map[segment.Key]relay.Kind{}
	for _, x := range c.Update(3*time.Millisecond, part(testEntry, parts[0])) {
		if x, ok := x.(ToEntry); ok && x.Message.Kind == relay.Answers {
			for i, k := range x.Message.Keys {
				told[k] = x.Message.Found[i]
			}
		}
	}
	is.Equal(told, map[segment.Key]relay.Kind{
		flowKey(2): relay.Owned,
		flowKey(3): relay.Owned,
		flowKey(9): relay.NotOwned,
	})
	is.Equal(len(c.questions), 0)
}

// Guards against questions that no one answers because the parts of a table do not come.
func TestQuestionsWithoutTheTable(t *testing.T) {
	is := is.New(t)
	parts := handover(stoppingCore(5, 3))
	c := nextCore(awayFor)
	c.Update(0, offer(testEntry, parts[0], awayFor))
	is.Equal(askedFor(c, time.Millisecond, flowKey(3)), relay.Kind(0))
	is.Equal(len(c.Update(restoreWait-1, Tick{})), 0)
	is.Equal(answerOf(c.Update(restoreWait, Tick{})), relay.Answers)
	is.Equal(askedFor(c, restoreWait, flowKey(3)), relay.Unsure)
	is.Equal(len(c.Update(restoreWait+TickTime, Tick{})), 0)
	c.Update(restoreTime+TickTime, Tick{})
	is.Equal(len(c.questions), 0)
}
