package catalog

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that goes back to the configuration of an earlier era, which a source
// that was cut off since still lists: a listing of a third era told the one in force again, and
// what was certain of its era was dropped with the old position. Issue 39, CONFIG.
func TestCertainEraOutlivesNextReturn(t *testing.T) {
	is := is.New(t)
	s := newState()
	for _, c := range []*Config{
		certain(1, 108, 7),
		certain(2, 103, 3),
		writtenAt(3, 103, 3),
		certain(1, 108, 7),
	} {
		s.Apply(0, ConfigChange{
			Config: c,
		})
	}
	is.Equal(s.Config().Version, uint64(3))
}
