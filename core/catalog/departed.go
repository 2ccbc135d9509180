package catalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// DefaultMaxAge is how long a target may hold flows after it left the list.
	DefaultMaxAge = 60 * time.Second
	// MaxDeparted is the maximum number of departed targets that are kept; beyond it the
	// ones that left first are dropped. It is twice the design size of 3,700 targets,
	// because a starting process may learn of all targets that a source lists, and of as
	// many departed ones, before its own first listing.
	MaxDeparted = 8192
	// minAgeDifference is the minimum time by which a reported departure has to be later
	// than the known one to replace it. Reported ages do not include the duration of the
	// call that transfers them, so without this margin two processes that report a target
	// to each other would keep it for ever.
	minAgeDifference = 2 * time.Second
)

// Departures holds the targets that left the list for as long as they may hold flows. The
// zero value is empty and ready to use.
type Departures struct {
	// MaxAge is how long targets are kept after they left; zero means DefaultMaxAge.
	MaxAge time.Duration

	departed map[targetKey]departure
}

// targetKey identifies a target. It includes the address because a target that returns at
// another address no longer has the flows from the former one.
type targetKey struct {
	id      string
	address netip.AddrPort
}

// departure is a departed target and the time at which it left.
type departure struct {
	target Target
	leftAt time.Duration
}

func keyOf(t Target) targetKey {
	return targetKey{
		id:      t.ID,
		address: t.Address,
	}
}

// Add records a departed target and reports whether it is new. A target of negative age,
// or of MaxAge and more, is ignored.
func (d *Departures) Add(now time.Duration, t TargetDeparted) bool {
	if t.Age < 0 || t.Age >= d.maxAge() {
		return false
	}
	if d.departed == nil {
		d.departed = map[targetKey]departure{}
	}
	k := keyOf(t.Target)
	old, known := d.departed[k]
	leftAt := now - t.Age
	if known && leftAt <= old.leftAt+minAgeDifference {
		return false
	}
	d.departed[k] = departure{
		target: t.Target,
		leftAt: leftAt,
	}
	if len(d.departed) > MaxDeparted {
		d.evictOldest()
	}

	return !known
}

// Return removes a target that is listed again and reports whether it had departed.
func (d *Departures) Return(t Target) bool {
	k := keyOf(t)
	_, ok := d.departed[k]
	delete(d.departed, k)

	return ok
}

// Contains reports whether a target is known as departed.
func (d *Departures) Contains(t Target) bool {
	_, ok := d.departed[keyOf(t)]

	return ok
}

// Expire drops the targets that have reached MaxAge and reports whether there were any.
func (d *Departures) Expire(now time.Duration) bool {
	before := len(d.departed)
	maps.DeleteFunc(d.departed, func(_ targetKey, e departure) bool {
		return now-e.leftAt >= d.maxAge()
	})

	return len(d.departed) < before
}

// List returns the departed targets with their ages, sorted by ID and address.
func (d *Departures) List(now time.Duration) []TargetDeparted {
	list := make([]TargetDeparted, 0, len(d.departed))
	for _, e := range d.departed {
		list = append(list, TargetDeparted{
			Target: e.target,
			Age:    now - e.leftAt,
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

// evictOldest drops the target that left first, to keep the number within MaxDeparted.
func (d *Departures) evictOldest() {
	oldest := targetKey{}
	for k, e := range d.departed {
		o, ok := d.departed[oldest]
		if !ok || e.leftAt < o.leftAt {
			oldest = k
		}
	}
	delete(d.departed, oldest)
}
