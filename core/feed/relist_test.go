package feed

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// Guards against a process that never takes a later write of a lower number, because it listed
// the service anew: the revision shows that the write was made after a return that it knows of.
// Issue 39, CONFIG.
func TestListedWriteAfterKnownReturn(t *testing.T) {
	is := is.New(t)
	config := func(p Position, version uint64) catalog.Change {
		return catalog.ConfigChange{
			Config: &catalog.Config{
				Version: version,
				Written: p,
			},
		}
	}
	listings := []Batch{
		listingAt(inEra(1, 108), config(inEra(1, 108), 7)),
		listingAt(inEra(2, 100), config(inEra(2, 50), 2)),
		listingAt(inEra(2, 103), config(inEra(2, 103), 3)),
	}
	f, changes := newTestFollower(&fakeUpstream{
		list: func() (Batch, error) {
			b := listings[0]
			listings = listings[1:]

			return b, nil
		},
	})
	for range 3 {
		f.listed = false
		f.step(context.Background())
	}
	is.Equal(stateOf(*changes).Config().Version, uint64(3))
}
