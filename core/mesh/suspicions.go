package mesh

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxSuspicionAge bounds the age of a suspicion; older ones expire.
	maxSuspicionAge = 10 * time.Minute
	// maxStoredSuspicions bounds the targets with a stored suspicion.
	maxStoredSuspicions = 1024
	// sendsPerSuspicion is how often a node passes a suspicion on with a
	// digest.
	sendsPerSuspicion = 6
	// suspicionsPerDigest bounds the suspicions that one digest carries.
	suspicionsPerDigest = 3
)

// suspicionEntry is the newest known suspicion of a target.
type suspicionEntry struct {
	suspicion Suspicion
	// changedAt is when the suspicion was raised or withdrawn.
	changedAt time.Duration
	sendsLeft int
}

// suspicions stores and spreads suspicions by the identity of their target.
type suspicions struct {
	entries map[uint64]*suspicionEntry
	// toSend lists the targets whose suspicions are still to be passed on with
	// digests.
	toSend []uint64
	// toPush lists the targets whose suspicions have not been pushed yet.
	toPush    []uint64
	nextSweep time.Duration
}

// raised reports whether the target is suspected; otherwise the suspicion is
// withdrawn.
func (s Suspicion) raised() bool {
	return s.Change%2 == 1
}

// newer reports whether s supersedes o.
func (s Suspicion) newer(o Suspicion) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Change, o.Change)) > 0
}

// Suspects returns the incarnations of suspected targets by target identity.
func (c *Core) Suspects() map[uint64]uint64 {
	m := map[uint64]uint64{}
	for t, e := range c.suspicions.entries {
		if e.suspicion.raised() {
			m[t] = e.suspicion.Incarnation
		}
	}

	return m
}

// localSuspicion merges what the process's own agent found out about a target.
func (c *Core) localSuspicion(target, incarnation uint64, raised bool) {
	n := Suspicion{
		Target:      target,
		Incarnation: incarnation,
	}
	old, known := c.suspicions.entries[target]
	switch {
	case known && old.suspicion.Incarnation > incarnation:
		return
	case known && old.suspicion.Incarnation == incarnation:
		n.Change = old.suspicion.Change
	case !known && !raised:
		return
	}
	if n.raised() != raised {
		n.Change++
	}
	c.onSuspicion(n)
}

func (c *Core) onSuspicions(items []Suspicion) {
	if len(items) > MaxSuspicions {
		c.counters.InvalidWire++

		return
	}
	for _, s := range items {
		c.onSuspicion(s)
	}
}

// onSuspicion stores a suspicion that is newer than the known one, and
// schedules it to be passed on.
func (c *Core) onSuspicion(n Suspicion) {
	s := &c.suspicions
	age := time.Duration(n.Age) * time.Second
	old, known := s.entries[n.Target]
	if age >= maxSuspicionAge || known && !n.newer(old.suspicion) {
		return
	}
	if !known && len(s.entries) >= maxStoredSuspicions {
		return
	}
	if s.entries == nil {
		s.entries = map[uint64]*suspicionEntry{}
	}

	if !known || old.suspicion.raised() != n.raised() || old.suspicion.Incarnation != n.Incarnation {
		c.changed = true
	}
	s.entries[n.Target] = &suspicionEntry{
		suspicion: n,
		changedAt: c.now - age,
		sendsLeft: sendsPerSuspicion,
	}
	if !slices.Contains(s.toSend, n.Target) {
		s.toSend = append(s.toSend, n.Target)
	}
	if !slices.Contains(s.toPush, n.Target) {
		s.toPush = append(s.toPush, n.Target)
	}
}

// takeForDigest returns the next suspicions to pass on with a digest.
func (s *suspicions) takeForDigest(c *Core) []Suspicion {
	items := []Suspicion{}
	for n := min(suspicionsPerDigest, len(s.toSend)); n > 0; n-- {
		t := s.toSend[0]
		s.toSend = s.toSend[1:]
		e := s.entries[t]
		if e == nil {
			continue
		}
		items = append(items, e.withAge(c.now))
		e.sendsLeft--
		if e.sendsLeft > 0 {
			s.toSend = append(s.toSend, t)
		}
	}

	return items
}

// withAge returns the suspicion with its present age.
func (e *suspicionEntry) withAge(now time.Duration) Suspicion {
	s := e.suspicion
	s.Age = uint32(max(0, now-e.changedAt) / time.Second)

	return s
}

// suspicionTick pushes new suspicions once, in batches, and removes expired
// ones.
func (c *Core) suspicionTick() {
	s := &c.suspicions
	if len(s.toPush) > 0 {
		c.pushSuspicions()
	}
	if c.now < s.nextSweep {
		return
	}
	s.nextSweep = c.now + time.Second
	maps.DeleteFunc(s.entries, func(_ uint64, e *suspicionEntry) bool {
		expired := c.now-e.changedAt >= maxSuspicionAge
		c.changed = c.changed || expired && e.suspicion.raised()

		return expired
	})
}

func (c *Core) pushSuspicions() {
	s := &c.suspicions
	n := min(len(s.toPush), MaxSuspicions)
	items := []Suspicion{}
	for _, t := range s.toPush[:n] {
		if e := s.entries[t]; e != nil {
			items = append(items, e.withAge(c.now))
		}
	}
	s.toPush = slices.Clone(s.toPush[n:])
	for _, a := range c.choosePeers(pushFanout, netip.AddrPort{}) {
		c.send(priorityBulk, a, Suspicions{
			Items: items,
		})
	}
}
