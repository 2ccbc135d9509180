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
	// stopAt is the time of a planned stop on the clock of the old process, which started
	// at startedAt in Unix milliseconds.
	stopAt    = 10 * time.Second
	startedAt = 1_000_000
	// downtime is the time between the stop of an agent and its restart. It may be of any
	// length.
	downtime = 30 * time.Millisecond
	// answerSeq is the sequence number of the target's answer to a SYN. ackSeq is what the
	// caller of a held flow acknowledged last.
	answerSeq = 77
	ackSeq    = 500
)

func flowKey(i int) segment.Key {
	k := testKey
	k.CallerPort = uint16(i)

	return k
}

func entryAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7720)
}

// messageFrom returns a message from an entry with a packet of the given flags and
// acknowledgement number.
func messageFrom(from netip.AddrPort, m relay.Message, flags segment.Flags, ack uint32) *EntryMessage {
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

// packetFromTarget returns a packet that the target sent.
func packetFromTarget(k segment.Key, flags segment.Flags, n int) *TargetPacket {
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

// stoppingCore returns an agent that is about to stop. Flow 0 is answered, flow 1 has no
// answer from the target, and the other flows are held.
func stoppingCore(flows, entries int) *Core {
	c := &Core{
		Complete: true,
		Started:  startedAt,
	}
	c.Update(0, Tick{})
	for i := range max(flows, entries) {
		from := entryAddr(i % entries)
		k := flowKey(i % flows)
		c.Update(stopAt, messageFrom(from, relay.Message{
			Kind: relay.Open,
			Key:  k,
		}, segment.SYN, 0))
		if i == 1 {
			continue
		}
		c.Update(stopAt, packetFromTarget(k, segment.SYN|segment.ACK, 0))
		if i > 1 {
			c.Update(stopAt, messageFrom(from, relay.Message{
				Kind: relay.Deliver,
				Key:  k,
			}, segment.ACK, answerSeq+1))
			c.Update(stopAt, messageFrom(from, relay.Message{
				Kind: relay.Deliver,
				Key:  k,
			}, segment.ACK, ackSeq))
		}
	}

	return c
}

// handoversByEntry returns the parts that each entry receives, in the order of sending.
func handoversByEntry(commands []Command) map[netip.AddrPort][]*relay.Table {
	parts := map[netip.AddrPort][]*relay.Table{}
	for _, x := range commands {
		if x, ok := x.(ToEntry); ok && x.Message.Kind == relay.Handover {
			parts[x.To] = append(parts[x.To], x.Message.Table)
		}
	}

	return parts
}

// handoverTable returns the parts of the table that the agent hands over.
func handoverTable(c *Core) []*relay.Table {
	for _, parts := range handoversByEntry(c.Update(stopAt, Stop{})) {
		return parts
	}

	return nil
}

// Guards against a flow that opens at the target after the table was written: the next
// process would be unsure of it.
func TestNothingOpensAfterStop(t *testing.T) {
	is := is.New(t)
	c := stoppingCore(5, 3)
	c.Update(stopAt, Stop{})
	now := stopAt + time.Millisecond
	is.Equal(countReturned(c.Update(now, openMessage(flowKey(9), 0)), relay.ReasonFull), 1)
	is.Equal(len(c.Update(now, openMessage(flowKey(2), 0))), 0)
	is.Equal(len(c.Update(now, packetFromTarget(flowKey(1), segment.SYN|segment.ACK, 0))), 0)
	is.Equal(len(c.Update(now, messageFrom(testEntry, relay.Message{
		Kind: relay.Confirm,
		Key:  flowKey(0),
	}, segment.ACK, answerSeq+1))), 0)
	is.True(forwarded(c.Update(now, messageFrom(testEntry, relay.Message{
		Kind: relay.Deliver,
		Key:  flowKey(2),
	}, segment.ACK, ackSeq))))
	k, _ := tableReply(c.Update(now, offerMessage(testEntry, &relay.Table{
		ID:    startedAt,
		Parts: 1,
	})))
	is.Equal(k, relay.Kind(0))

	// A process that keeps running takes flows again once no entry has the table any more.
	is.Equal(countReturned(c.Update(stopAt+c.Policy.HandoverTime, openMessage(flowKey(9), 0)), relay.ReasonFull), 1)
	is.True(forwarded(c.Update(stopAt+stopBlockTime, openMessage(flowKey(9), 0))))
}

// Guards against a table that is lost with the entries that hold it: it goes to entries
// that were heard lately, and not to the same ones at each stop.
func TestHandoverRecipients(t *testing.T) {
	is := is.New(t)
	is.Equal(len(handoversByEntry(stoppingCore(5, 2).Update(stopAt, Stop{}))), 2)
	chosen := map[netip.AddrPort]bool{}
	for i := range 10 {
		c := stoppingCore(5, 7)
		c.Started += int64(i)
		parts := handoversByEntry(c.Update(stopAt, Stop{}))
		is.Equal(len(parts), handoverRecipients)
		for a := range parts {
			chosen[a] = true
		}
	}
	is.True(len(chosen) > 2*handoverRecipients)

	// Only one entry was heard in the last seconds; the others may still be running.
	c := stoppingCore(5, 7)
	late := stopAt + 2*maxRecipientSilence
	c.Update(late, messageFrom(entryAddr(4), relay.Message{
		Kind: relay.Deliver,
		Key:  flowKey(2),
	}, segment.ACK, ackSeq))
	parts := handoversByEntry(c.Update(late, Stop{}))
	is.Equal(len(parts), handoverRecipients)
	is.Equal(len(parts[entryAddr(4)]), 1)
}

// Guards against a planned stop whose table fills the link, and logs the size of the
// handover.
func TestHandoverSize(t *testing.T) {
	for _, flows := range []int{100, 5400, 9000} {
		t.Run(fmt.Sprint(flows), func(t *testing.T) {
			is := is.New(t)
			c := stoppingCore(flows, 7)
			datagrams := 0
			bytes := 0
			parts := 0
			for range 3 {
				for _, list := range handoversByEntry(c.Update(stopAt, Stop{})) {
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
			is.True(datagrams <= maxHandoverDatagrams)
			is.True(parts <= relay.MaxParts)
			is.Equal(parts, min(relay.MaxParts, (flows-1+relay.MaxFlows-1)/relay.MaxFlows))
		})
	}
}
