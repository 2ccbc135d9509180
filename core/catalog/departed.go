package catalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// DefaultMaxAge is how long a target that left the list may hold flows.
	DefaultMaxAge = 60 * time.Second
	// MaxDeparted bounds the targets that are kept after they left: twice the 3,700
	// targets of the design size, as a process that starts may hear of all targets that a
	// source lists, and as many that left, before its own listing. The ones that left
	// first are dropped.
	MaxDeparted = 8192
	// ageSlack is by how much the time that another process tells has to be later to
	// replace the one known. Ages do not count the time of the call that brings them,
	// so processes that tell each other would else keep a target for ever.
	ageSlack = 2 * time.Second
)

// Departures holds the targets that left the list, for as long as they may hold
// flows. The zero value is empty and works.
type Departures struct {
	// MaxAge is how long they are kept; zero is DefaultMaxAge.
	MaxAge time.Duration

	left map[place]departure
}

// place identifies a target: one that returns at another address does not have the
// flows of the former.
type place struct {
	id      string
	address netip.AddrPort
}

// departure is a target with the time at which it left.
type departure struct {
	target Target
	at     time.Duration
}

func placeOf(t Target) place {
	return place{
		id:      t.ID,
		address: t.Address,
	}
}

// Add notes a target that left and reports whether it was unknown.
func (d *Departures) Add(now time.Duration, t TargetDeparted) bool {
	if t.Age < 0 || t.Age >= d.maxAge() {
		return false
	}
	if d.left == nil {
		d.left = map[place]departure{}
	}
	p := placeOf(t.Target)
	old, known := d.left[p]
	at := now - t.Age
	if known && at <= old.at+ageSlack {
		return false
	}
	d.left[p] = departure{
		target: t.Target,
		at:     at,
	}
	if len(d.left) > MaxDeparted {
		d.dropFirst()
	}

	return !known
}

// Return notes that a target is listed and reports whether it had left.
func (d *Departures) Return(t Target) bool {
	p := placeOf(t)
	_, ok := d.left[p]
	delete(d.left, p)

	return ok
}

// Expire drops the targets that hold no flow any more and reports whether there
// were any.
func (d *Departures) Expire(now time.Duration) bool {
	before := len(d.left)
	maps.DeleteFunc(d.left, func(_ place, p departure) bool {
		return now-p.at >= d.maxAge()
	})

	return len(d.left) < before
}

// List returns the targets with their ages, sorted by ID and address.
func (d *Departures) List(now time.Duration) []TargetDeparted {
	list := make([]TargetDeparted, 0, len(d.left))
	for _, p := range d.left {
		list = append(list, TargetDeparted{
			Target: p.target,
			Age:    now - p.at,
		})
	}
	slices.SortFunc(list, func(a, b TargetDeparted) int {
		return cmp.Or(compareTargets(a.Target, b.Target), a.Target.Address.Compare(b.Target.Address))
	})

	return list
}

func (d *Departures) maxAge() time.Duration {
	return cmp.Or(d.MaxAge, DefaultMaxAge)
}

// dropFirst drops the target that left first.
func (d *Departures) dropFirst() {
	first := place{}
	for p, e := range d.left {
		f, ok := d.left[first]
		if !ok || e.at < f.at {
			first = p
		}
	}
	delete(d.left, first)
}
