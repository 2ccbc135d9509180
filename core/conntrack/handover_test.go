package conntrack

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// stopAt is the time of a planned stop on the old process's clock, which began at
	// bornAt on the wall.
	stopAt = 10 * time.Second
	bornAt = 1_000_000
	// awayFor is how long an agent is away at the least.
	awayFor = 500 * time.Millisecond
	// answerSeq is the sequence number of the target's answer to a SYN, ackSeq what the
	// caller of a held flow acknowledged last.
	answerSeq = 77
	ackSeq    = 500
)

func flowKey(i int) segment.Key {
	k := testKey
	k.CallerPort = uint16(i)

	return k
}

func entryAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7720)
}

// sentTo returns a message of an entry.
func sentTo(from netip.AddrPort, m relay.Message, flags segment.Flags, ack uint32) *EntryMessage {
	m.Packet = []byte{1}

	return &EntryMessage{
		From:    from,
		Message: m,
		Segment: segment.Segment{
			Key:   m.Key,
			Flags: flags,
			Ack:   ack,
			Len:   1,
		},
	}
}

// targetSends returns a packet of the target.
func targetSends(k segment.Key, flags segment.Flags, n int) *TargetPacket {
	return &TargetPacket{
		Segment: segment.Segment{
			Key:        k,
			FromTarget: true,
			Flags:      flags,
			Seq:        answerSeq,
			Len:        n,
		},
	}
}

// stoppingCore returns an agent that is about to stop: with one flow that is answered
// (0), one that the target has not answered (1), and others that are held.
func stoppingCore(flows, entries int) *Core {
	c := &Core{
		Complete: true,
		Started:  bornAt,
	}
	c.Update(0, Tick{})
	for i := range max(flows, entries) {
		from := entryAt(i % entries)
		k := flowKey(i % flows)
		c.Update(stopAt, sentTo(from, relay.Message{
			Kind: relay.Open,
			Key:  k,
		}, segment.SYN, 0))
		if i == 1 {
			continue
		}
		c.Update(stopAt, targetSends(k, segment.SYN|segment.ACK, 0))
		if i > 1 {
			c.Update(stopAt, sentTo(from, relay.Message{
				Kind: relay.Deliver,
				Key:  k,
			}, segment.ACK, answerSeq+1))
			c.Update(stopAt, sentTo(from, relay.Message{
				Kind: relay.Deliver,
				Key:  k,
			}, segment.ACK, ackSeq))
		}
	}

	return c
}

// handedOver returns the parts that each entry gets, in the order of their sending.
func handedOver(commands []Command) map[netip.AddrPort][]*relay.Table {
	parts := map[netip.AddrPort][]*relay.Table{}
	for _, x := range commands {
		if x, ok := x.(ToEntry); ok && x.Message.Kind == relay.Handover {
			parts[x.To] = append(parts[x.To], x.Message.Table)
		}
	}

	return parts
}

// handover returns the table that such an agent hands over.
func handover(c *Core) []*relay.Table {
	for _, parts := range handedOver(c.Update(stopAt, Stop{})) {
		return parts
	}

	return nil
}

// Guards against a flow that opens at the target after the table was written, so that the
// next process says that the target does not hold it.
func TestNothingOpensAfterStop(t *testing.T) {
	is := is.New(t)
	c := stoppingCore(5, 3)
	c.Update(stopAt, Stop{})
	now := stopAt + time.Millisecond
	is.Equal(returnedBy(c.Update(now, openMessage(flowKey(9), 0)), relay.ReasonFull), 1)
	is.Equal(len(c.Update(now, openMessage(flowKey(2), 0))), 0)
	is.Equal(len(c.Update(now, targetSends(flowKey(1), segment.SYN|segment.ACK, 0))), 0)
	is.Equal(len(c.Update(now, sentTo(testEntry, relay.Message{
		Kind: relay.Confirm,
		Key:  flowKey(0),
	}, segment.ACK, answerSeq+1))), 0)
	is.True(passed(c.Update(now, sentTo(testEntry, relay.Message{
		Kind: relay.Deliver,
		Key:  flowKey(2),
	}, segment.ACK, ackSeq))))
	k, _ := tableAnswer(c.Update(now, offer(testEntry, &relay.Table{
		ID:    bornAt,
		Parts: 1,
	}, time.Millisecond)))
	is.Equal(k, relay.Kind(0))

	// A process that goes on takes flows again when no entry has the table any more.
	is.Equal(returnedBy(c.Update(stopAt+c.Policy.HandoverTime, openMessage(flowKey(9), 0)), relay.ReasonFull), 1)
	is.True(passed(c.Update(stopAt+stoppedTime, openMessage(flowKey(9), 0))))
}

// Guards against a table that is lost with the entries that have it: those that were heard
// lately get it, and not the same ones at each stop.
func TestEntriesThatGetTheTable(t *testing.T) {
	is := is.New(t)
	is.Equal(len(handedOver(stoppingCore(5, 2).Update(stopAt, Stop{}))), 2)
	chosen := map[netip.AddrPort]bool{}
	for i := range 10 {
		c := stoppingCore(5, 7)
		c.Started += int64(i)
		parts := handedOver(c.Update(stopAt, Stop{}))
		is.Equal(len(parts), handoverEntries)
		for a := range parts {
			chosen[a] = true
		}
	}
	is.True(len(chosen) > 2*handoverEntries)

	// Only one was heard in the last seconds; the others may run.
	c := stoppingCore(5, 7)
	late := stopAt + 2*handoverHeard
	c.Update(late, sentTo(entryAt(4), relay.Message{
		Kind: relay.Deliver,
		Key:  flowKey(2),
	}, segment.ACK, ackSeq))
	parts := handedOver(c.Update(late, Stop{}))
	is.Equal(len(parts), handoverEntries)
	is.Equal(len(parts[entryAt(4)]), 1)
}

// Guards against a planned stop whose tables fill the link, and prints what one costs.
func TestSizeOfHandover(t *testing.T) {
	for _, flows := range []int{100, 5400, 9000} {
		t.Run(fmt.Sprint(flows), func(t *testing.T) {
			is := is.New(t)
			c := stoppingCore(flows, 7)
			datagrams := 0
			bytes := 0
			parts := 0
			for range 3 {
				for _, list := range handedOver(c.Update(stopAt, Stop{})) {
					parts = len(list)
					for _, p := range list {
						datagrams++
						b := (&relay.Message{
							Kind:  relay.Handover,
							Table: p,
						}).Append(nil)
						bytes += len(b)
						is.True(len(b) <= relay.HeaderBytes+relay.MaxKeys*relay.KeyBytes)
					}
				}
			}
			t.Logf("%d flows: %d parts, %d datagrams, %d bytes", flows, parts, datagrams, bytes)
			is.True(datagrams <= maxHandover)
			is.True(parts <= relay.MaxParts)
			is.Equal(c.stopped.parts[0].Complete, flows <= relay.MaxParts*relay.MaxFlows)
		})
	}
}
