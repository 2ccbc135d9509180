package mesh

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// rumourLife is when a rumour expires.
	rumourLife = 10 * time.Minute
	maxRumours = 1024
	// rumourSends is how often a node passes a rumour on.
	rumourSends = 6
	// piggyback is the number of rumours on a digest.
	piggyback = 3
)

type rumourEntry struct {
	rumour Rumour
	// born is the time of the change of opinion.
	born  time.Duration
	sends int
}

type rumours struct {
	entries map[uint64]*rumourEntry
	// hot lists the targets whose rumours are still to be passed on.
	hot []uint64
	// fresh lists the targets whose rumours were not pushed yet.
	fresh []uint64
	sweep time.Duration
}

func (r Rumour) suspect() bool {
	return r.Change%2 == 1
}

func (r Rumour) newer(o Rumour) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Change, o.Change)) > 0
}

// Suspects returns the incarnations of suspected targets by target identity.
func (c *Core) Suspects() map[uint64]uint64 {
	m := map[uint64]uint64{}
	for t, e := range c.rumours.entries {
		if e.rumour.suspect() {
			m[t] = e.rumour.Incarnation
		}
	}

	return m
}

// localRumour takes in the own agent's opinion of a target.
func (c *Core) localRumour(target, incarnation uint64, suspect bool) {
	n := Rumour{
		Target:      target,
		Incarnation: incarnation,
	}
	old, known := c.rumours.entries[target]
	switch {
	case known && old.rumour.Incarnation > incarnation:
		return
	case known && old.rumour.Incarnation == incarnation:
		n.Change = old.rumour.Change
	case !known && !suspect:
		return
	}
	if n.suspect() != suspect {
		n.Change++
	}
	c.onRumour(n)
}

func (c *Core) onRumours(items []Rumour) {
	if len(items) > MaxRumours {
		c.counters.InvalidWire++

		return
	}
	for _, r := range items {
		c.onRumour(r)
	}
}

func (c *Core) onRumour(r Rumour) {
	k := &c.rumours
	age := time.Duration(r.Age) * time.Second
	old, known := k.entries[r.Target]
	if age >= rumourLife || known && !r.newer(old.rumour) {
		return
	}
	if !known && len(k.entries) >= maxRumours {
		return
	}
	if k.entries == nil {
		k.entries = map[uint64]*rumourEntry{}
	}

	if !known || old.rumour.suspect() != r.suspect() || old.rumour.Incarnation != r.Incarnation {
		c.changed = true
	}
	k.entries[r.Target] = &rumourEntry{
		rumour: r,
		born:   c.now - age,
		sends:  rumourSends,
	}
	if !slices.Contains(k.hot, r.Target) {
		k.hot = append(k.hot, r.Target)
	}
	if !slices.Contains(k.fresh, r.Target) {
		k.fresh = append(k.fresh, r.Target)
	}
}

// take returns the next rumours to pass on with a digest.
func (k *rumours) take(c *Core) []Rumour {
	items := []Rumour{}
	for n := min(piggyback, len(k.hot)); n > 0; n-- {
		t := k.hot[0]
		k.hot = k.hot[1:]
		e := k.entries[t]
		if e == nil {
			continue
		}
		items = append(items, e.aged(c.now))
		e.sends--
		if e.sends > 0 {
			k.hot = append(k.hot, t)
		}
	}

	return items
}

func (e *rumourEntry) aged(now time.Duration) Rumour {
	r := e.rumour
	r.Age = uint32(max(0, now-e.born) / time.Second)

	return r
}

// rumourTick pushes new rumours once, in batches, and drops expired ones.
func (c *Core) rumourTick() {
	k := &c.rumours
	if len(k.fresh) > 0 {
		c.pushRumours()
	}
	if c.now < k.sweep {
		return
	}
	k.sweep = c.now + time.Second
	maps.DeleteFunc(k.entries, func(_ uint64, e *rumourEntry) bool {
		expired := c.now-e.born >= rumourLife
		c.changed = c.changed || expired && e.rumour.suspect()

		return expired
	})
}

func (c *Core) pushRumours() {
	k := &c.rumours
	n := min(len(k.fresh), MaxRumours)
	items := []Rumour{}
	for _, t := range k.fresh[:n] {
		if e := k.entries[t]; e != nil {
			items = append(items, e.aged(c.now))
		}
	}
	k.fresh = slices.Clone(k.fresh[n:])
	for _, a := range c.choose(pushFanout, netip.AddrPort{}) {
		c.send(classBulk, a, Rumours{
			Items: items,
		})
	}
}
