package conntrack

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// denials holds the flows whose probes the target has bounced and whose entries are not told yet:
// after a loss of power these are thousands a second, and a message for each would keep entries
// busy for longer than the bounces take.
type denials struct {
	// entries holds the entries in the order of their first denial, flows the flows of each.
	entries []netip.AddrPort
	flows   map[netip.AddrPort][]segment.Key
}

func (d *denials) add(entry netip.AddrPort, k segment.Key) {
	if d.flows == nil {
		d.flows = map[netip.AddrPort][]segment.Key{}
	}
	if len(d.flows[entry]) == 0 {
		d.entries = append(d.entries, entry)
	}
	d.flows[entry] = append(d.flows[entry], k)
}

// HasDenials reports whether a BatchEnd is due.
func (c *Core) HasDenials() bool {
	return len(c.denials.entries) > 0
}

// sendDenials tells the entries of bounced probes which flows these were for. The entries have
// copies of the packets.
func (c *Core) sendDenials(now time.Duration) {
	for _, entry := range c.denials.entries {
		c.note(now, Note{
			Decision: ProbesDenied,
			Entry:    entry,
			Count:    len(c.denials.flows[entry]),
		})
		for keys := range slices.Chunk(c.denials.flows[entry], relay.MaxKeys) {
			c.sendToEntry(entry, relay.Message{
				Kind:      relay.Answers,
				Keys:      keys,
				Ownership: slices.Repeat([]relay.Kind{relay.NotOwned}, len(keys)),
			})
		}
	}
	c.denials = denials{}
}
