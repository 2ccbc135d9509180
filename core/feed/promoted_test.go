package feed

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// Guards against a process that becomes a source, after all sources have ended, and lists no
// configuration to processes that start, although it knows one: the service holds one that can't
// be used. Issue 39, CONFIG.
func TestNewSourceListsItsOwnConfig(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFollower(&fakeUpstream{
		list:  emptyListing(5),
		watch: emptyWatch(5),
	})
	f.Log = &Log{}
	f.listed = true
	f.position = at(4)
	source := &fakeUpstream{
		watch: func(Position, time.Duration) (Batch, error) {
			return Batch{
				Position: at(5),
				Current:  true,
				Changes:  []catalog.Change{configChange(9)},
			}, nil
		},
	}
	f.Follow(false, []Upstream{source})
	f.step(context.Background())
	is.True(f.configReported)

	f.Follow(true, nil)
	f.step(context.Background())
	b, err := f.Log.List()
	is.NoErr(err)
	is.Equal(b.Changes, []catalog.Change{configChange(9)})
}
