package steer

import (
	"slices"
	"time"

	"ibisfold.example/core/segment"
)

const (
	// maxEarly bounds the packets that wait for the first catalog.
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
}

// holdEarly keeps a packet until the first catalog. After a power outage all callers come
// back at once, while the configuration service may be slow.
func (c *Core) holdEarly(now time.Duration, m *CallerPacket) {
	if len(c.early) == maxEarly {
		c.note(now, Note{
			Decision: NoCatalog,
			Key:      m.Segment.Key,
		})

		return
	}
	c.early = append(c.early, earlyPacket{
		segment: m.Segment,
		packet:  slices.Clone(m.Packet),
		at:      now,
	})
}

// replayEarly handles the packets that waited for the first catalog.
func (c *Core) replayEarly(now time.Duration) {
	early := c.early
	c.early = nil
	for i := range early {
		if now-early[i].at > maxEarlyAge {
			continue
		}
		c.handleCallerPacket(now, &CallerPacket{
			Segment: early[i].segment,
			Packet:  early[i].packet,
		})
	}
}
