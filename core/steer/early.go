package steer

import (
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// maxEarly bounds the packets that wait for the first catalog. The oldest make room for new
	// ones once they are older than maxEarlyAge.
	maxEarly = 1024
	// maxEarlyAge bounds the age of the packets that are handled once the catalog is there:
	// callers have retransmitted older ones.
	maxEarlyAge = 400 * time.Millisecond
)

// earlyPacket is a packet that came before the first catalog.
type earlyPacket struct {
	segment segment.Segment
	packet  []byte
	at      time.Duration
	// returned means that an agent returned the packet, which an earlier process of this entry
	// had sent to it.
	returned bool
}

// updateEarly handles a message that comes before the first catalog, while there are neither flows
// nor searches. It decides for every type of message what becomes of it: what agents tell of
// themselves and of flow tables holds with any catalog, packets wait for the first one, and
// everything else would refer to flows or to a list that are not there.
func (c *Core) updateEarly(now time.Duration, m Message) {
	switch m := m.(type) {
	case *CallerPacket:
		c.holdEarly(now, m, false)
	case *AgentMessage:
		c.handleEarlyAgentMessage(now, m)
	case CatalogChanged:
		c.setSnapshot(now, m)
		c.replayEarly(now)
	case Tick:
		c.tick(now, m.Behind)
	case CatalogConfirmed, PortChecked:
	}
}

// handleEarlyAgentMessage records what an agent tells of itself, and keeps a packet that it returns.
// That it does not hold the packet's flow is not recorded: it may have opened the flow by the time
// of the search.
func (c *Core) handleEarlyAgentMessage(now time.Duration, m *AgentMessage) {
	if !c.admits(m.From) || c.handleTable(now, m) {
		return
	}
	a := c.recordHeard(now, m.From, &m.Message)
	if m.Message.Kind != relay.Returned {
		return
	}
	if m.Segment.Opens() {
		// The caller of the SYN sends copies, or waits no longer.
		c.avoid(now, a, m.Message.Reason)

		return
	}
	c.note(now, Note{
		Decision: ReturnedHeld,
		Key:      m.Message.Key,
		Agent:    m.From,
		Reason:   m.Message.Reason,
	})
	c.holdEarly(now, &CallerPacket{
		Segment: m.Segment,
		Packet:  m.Message.Packet,
	}, true)
}

// holdEarly keeps a packet until the first catalog. After a power outage all callers come
// back at once, while the configuration service may be slow.
func (c *Core) holdEarly(now time.Duration, m *CallerPacket, returned bool) {
	if len(c.early) == maxEarly {
		c.dropOldEarly(now)
	}
	if len(c.early) == maxEarly {
		c.note(now, Note{
			Decision: NoCatalog,
			Key:      m.Segment.Key,
		})

		return
	}
	c.early = append(c.early, earlyPacket{
		segment:  m.Segment,
		packet:   slices.Clone(m.Packet),
		at:       now,
		returned: returned,
	})
}

// dropOldEarly drops the packets that are too old to be handled. They are in the order of their
// arrival.
func (c *Core) dropOldEarly(now time.Duration) {
	n := 0
	for n < len(c.early) && now-c.early[n].at > maxEarlyAge {
		n++
	}
	c.early = slices.Delete(c.early, 0, n)
}

// replayEarly handles the packets that waited for the first catalog. A returned one is of no use if
// a packet of its caller has come as well: that one is later.
func (c *Core) replayEarly(now time.Duration) {
	early := c.early
	c.early = nil
	for i := range early {
		e := &early[i]
		if now-e.at > maxEarlyAge || e.returned && c.knows(e.segment.Key) {
			continue
		}
		c.handleCallerPacket(now, &CallerPacket{
			Segment: e.segment,
			Packet:  e.packet,
		})
	}
}

// knows reports whether a flow is known or searched for.
func (c *Core) knows(k segment.Key) bool {
	_, known := c.flows[k]
	_, searched := c.searches[k]

	return known || searched
}
