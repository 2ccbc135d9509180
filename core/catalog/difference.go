package catalog

import (
	"maps"
	"slices"
)

// Difference is how the targets of one Snapshot differ from those of an earlier one.
// Each list is in the order of the snapshots.
type Difference struct {
	// Added are listed now and were not, Removed the reverse.
	Added   []Member
	Removed []Member
	// Departed are those that may hold flows and were not known as such.
	Departed []Member
}

// Empty reports whether the targets are the same.
func (d *Difference) Empty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Departed) == 0
}

// Since returns what changed since an earlier snapshot, which may be nil. A target
// that changed its address is removed and added.
func (n *Snapshot) Since(old *Snapshot) Difference {
	if old == nil {
		old = &Snapshot{}
	}
	before, after := old.listing(), n.listing()

	return Difference{
		Added:    without(after, before),
		Removed:  without(before, after),
		Departed: without(n.Departed, old.Departed),
	}
}

func (n *Snapshot) listing() []Member {
	list := []Member{}
	for _, id := range slices.Sorted(maps.Keys(n.Groups)) {
		list = append(list, n.Groups[id]...)
	}

	return list
}

func without(list, known []Member) []Member {
	places := map[place]bool{}
	for _, m := range known {
		places[placeOf(m.Target)] = true
	}

	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool {
		return places[placeOf(m.Target)]
	})
}
