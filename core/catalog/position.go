package catalog

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the configuration service. The service gives out
// revisions again after it came back from an older copy of its data, so revisions are only
// comparable within an era. The zero value comes before all others.
type Position struct {
	// Era counts the copies that the service came back from. It is zero if the service does
	// not tell it.
	Era uint64
	// Revision counts the changes of the catalog.
	Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is earlier than o.
func (p Position) Before(o Position) bool {
	return p.Compare(o) < 0
}

// Continues reports whether the changes from o to p can be told without a listing: both are
// in the same era, and p is not earlier.
func (p Position) Continues(o Position) bool {
	return p.Era == o.Era && p.Revision >= o.Revision
}

// String returns the era and the revision.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Era, p.Revision)
}
