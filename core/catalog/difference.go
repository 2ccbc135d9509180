package catalog

import (
	"maps"
	"slices"
)

// Difference is how the targets of a Snapshot differ from those of an earlier one. The
// lists keep the order of the snapshots.
type Difference struct {
	// Added holds the targets that only the later snapshot lists, Removed those that only
	// the earlier one lists.
	Added   []Member
	Removed []Member
	// Departed holds the departed targets that the earlier snapshot did not have as such.
	Departed []Member
}

// Empty reports whether the targets are the same.
func (d *Difference) Empty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Departed) == 0
}

// Since returns the changes of targets since an earlier snapshot; nil stands for an empty
// one. A target that changed its address is both removed and added.
func (n *Snapshot) Since(old *Snapshot) Difference {
	if old == nil {
		old = &Snapshot{}
	}
	before, after := old.members(), n.members()

	return Difference{
		Added:    subtract(after, before),
		Removed:  subtract(before, after),
		Departed: subtract(n.Departed, old.Departed),
	}
}

// members returns the listed targets of all services, ordered by service and target ID.
func (n *Snapshot) members() []Member {
	list := []Member{}
	for _, id := range slices.Sorted(maps.Keys(n.Groups)) {
		list = append(list, n.Groups[id]...)
	}

	return list
}

// subtract returns the members of list whose ID and address do not occur in known.
func subtract(list, known []Member) []Member {
	keys := map[targetKey]bool{}
	for _, m := range known {
		keys[keyOf(m.Target)] = true
	}

	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool {
		return keys[keyOf(m.Target)]
	})
}
