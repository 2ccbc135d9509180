package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a cold target that gets more new flows per second than its rate, with the
// tolerance that the platform allows: half as many again, plus five. This happens when all
// callers return at once through several entries.
func TestColdStartBound(t *testing.T) {
	for _, rate := range []float64{0.5, 1.5, 4, 20} {
		is := is.New(t)
		b := coldLimiter{}
		taken := []time.Duration{}
		for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
			if b.allow(now, rate) {
				taken = append(taken, now)
			}
		}
		for i, at := range taken {
			within := 0
			for _, other := range taken[i:] {
				if other < at+time.Second {
					within++
				}
			}
			is.True(float64(within) <= 1.5*rate+5)
		}
		is.True(float64(len(taken)) >= 5*rate-1)
	}
}

// Guards against a warm target that is still rate-limited because it was cold before.
func TestWarmTargetIsNotLimited(t *testing.T) {
	is := is.New(t)
	b := coldLimiter{}
	b.allow(0, 1)
	is.True(!b.allow(0, 1))
	for range 100 {
		is.True(b.allow(0, 0))
	}
}
