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

// Guards against resets of living flows by an entry that starts shortly before the service is back:
// entries of living targets have expired, and the process can't know for how long the service was
// away. A service that answers the first call was there.
func TestOutageBeforeStartIsSeen(t *testing.T) {
	is := is.New(t)
	failures := 0
	service := &fakeUpstream{
		list: func() (Batch, error) {
			if failures > 0 {
				failures--

				return Batch{}, ErrUnavailable
			}

			return listingOf(4), nil
		},
	}
	for _, failures = range []int{1, 0} {
		away := failures > 0
		f, _ := newTestFollower(service)
		f.Follow(true, nil)
		told := Confirmation{}
		f.Confirmed = func(c Confirmation) {
			told = c
		}
		for !f.listed {
			f.step(context.Background())
		}
		is.True(told.Current)
		is.Equal(told.MaxAge == maxAge, away)
		is.Equal(f.afterOutage(), away)
	}
}
