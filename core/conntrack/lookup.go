package conntrack

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// maxLookupWait bounds how long after the agent's start lookups wait for the parts of
	// an offered table. Entries consider an agent silent if it leaves lookups unanswered
	// for 180 ms.
	maxLookupWait = 150 * time.Millisecond
	// maxPendingLookups bounds the lookups that are kept until a table is restored. They
	// take about 400 KB of memory.
	maxPendingLookups = 8192
)

// lookup is an entry's lookup that arrived while the agent was unsure of the flow.
type lookup struct {
	from netip.AddrPort
	key  segment.Key
	// answered means that the entry was already told that the agent is unsure.
	answered bool
}

// deferLookup keeps a lookup that the flow table of the previous process may answer. It
// reports whether the answer is deferred until the table is restored because its parts are
// on their way. Until a table is offered the agent answers that it is unsure and corrects that
// later: after a kill there is no table, and entries would wait in vain.
func (c *Core) deferLookup(now time.Duration, from netip.AddrPort, k segment.Key) bool {
	if !c.canRestore(now) || c.lastStop.active(now) || len(c.lookups) == maxPendingLookups || c.ownership(k) != relay.Unsure {
		return false
	}
	deferred := c.restore.parts > 0 && now-c.restore.startedAt < maxLookupWait
	c.lookups = append(c.lookups, lookup{
		from:     from,
		key:      k,
		answered: !deferred,
	})

	return deferred
}

// deferLookups calls deferLookup for the flows of a FindMany. It returns the flows to
// answer now.
func (c *Core) deferLookups(now time.Duration, m *EntryMessage) []segment.Key {
	return slices.DeleteFunc(slices.Clone(m.Message.Keys), func(k segment.Key) bool {
		return c.deferLookup(now, m.From, k)
	})
}

// answerDeferredLookups answers deferred lookups once the restore has ended or
// maxLookupWait has passed. When a restored table shows whether the target holds a flow
// that the agent was unsure of, it sends the entry a corrected answer.
func (c *Core) answerDeferredLookups(now time.Duration) {
	if len(c.lookups) == 0 {
		return
	}
	restoreDone := !c.canRestore(now)
	if !restoreDone && now-c.restore.startedAt < maxLookupWait {
		return
	}
	answers := map[netip.AddrPort][]segment.Key{}
	entries := []netip.AddrPort{}
	for i := range c.lookups {
		l := &c.lookups[i]
		corrected := restoreDone && c.restore.parts > 0 && c.ownership(l.key) != relay.Unsure
		if l.answered && !corrected {
			continue
		}
		l.answered = true
		if answers[l.from] == nil {
			entries = append(entries, l.from)
		}
		answers[l.from] = append(answers[l.from], l.key)
	}
	if restoreDone {
		c.lookups = nil
	}
	for _, to := range entries {
		for keys := range slices.Chunk(answers[to], relay.MaxKeys) {
			c.answerFindMany(to, keys)
		}
	}
}
