package catalog

import (
	"cmp"
	"slices"
)

// Declares reports whether the configuration has a service. An entry of any other service is
// that of another writer, or of a target whose service an earlier or a later version declares.
// It gets no new flows, but the VM that it names may hold old ones.
func (c *Config) Declares(service uint64) bool {
	_, ok := c.Services[service]

	return ok
}

// ComparePrecedence compares two listed targets of which only one can be in use, because they
// share an address or the agent of a VM; the result is negative if a is the one. A target of a
// declared service goes first, so that the entry of another writer hides none. Of two targets
// that are both plausible the one that came later wins: the address of a target that is gone may
// be used again, also by another service.
func (c *Config) ComparePrecedence(a, b *Target) int {
	return cmp.Or(c.compareDeclared(a, b), compareWritten(b, a), cmp.Compare(b.Born, a.Born), cmp.Compare(b.ID, a.ID))
}

// compareWritten orders targets by the changes of their entries; zero if one of them is not known.
// Clocks have no part in it.
func compareWritten(a, b *Target) int {
	if a.Written.Revision == 0 || b.Written.Revision == 0 {
		return 0
	}

	return a.Written.Compare(b.Written)
}

// compareDeclared is negative if only a is of a declared service, and positive if only b is.
func (c *Config) compareDeclared(a, b *Target) int {
	switch x, y := c.Declares(a.Service), c.Declares(b.Service); {
	case x && !y:
		return -1
	case y && !x:
		return 1
	}

	return 0
}

// Replaces reports whether a listed target shows that one that left the list, on the same VM, is
// not there any more. The entry of another writer shows nothing about a target of a declared
// service.
func (c *Config) Replaces(listed, departed *Target) bool {
	return c.compareDeclared(listed, departed) <= 0
}

// sortDeparted sorts departed targets so that the one whose VM may hold flows longest comes
// first: those of declared services, then those that left last, then those that came last.
func (c *Config) sortDeparted(list []TargetDeparted) {
	slices.SortStableFunc(list, func(a, b TargetDeparted) int {
		return cmp.Or(
			c.compareDeclared(&a.Target, &b.Target),
			cmp.Compare(a.Age, b.Age),
			compareWritten(&b.Target, &a.Target),
			cmp.Compare(b.Target.Born, a.Target.Born),
		)
	})
}
