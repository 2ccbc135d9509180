package feed

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// Guards against the end of a source by any call that comes before its first listing, and against
// an answer that followers would take for a list.
func TestLogBeforeFirstListingAnswersNothing(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		l := Log{}
		for range 50 {
			b := Batch{
				Position: Position{
					Era:      r.Uint64N(2),
					Revision: r.Uint64N(5),
				},
				AfterOutage: r.IntN(2) == 0,
				Current:     r.IntN(2) == 0,
				Changes:     []catalog.Change{targetChange("1")},
				Departed: []catalog.TargetDeparted{
					{
						Target: targetChange("2").(catalog.TargetChange).Target,
					},
				},
			}
			switch r.IntN(5) {
			case 0:
				l.Add(b)
			case 1:
				l.Learn(b)
			case 2:
				l.LearnConfig([]catalog.Change{
					catalog.ConfigChange{
						Config: &catalog.Config{
							Version: r.Uint64N(4),
						},
					},
				})
			case 3:
				l.MarkUnavailable()
			case 4:
				_, err := l.List()
				is.True(errors.Is(err, ErrUnavailable))
			}
			_, err := l.Watch(context.Background(), b.Position, time.Millisecond)
			is.True(errors.Is(err, ErrUnavailable))
		}
	}
}
