package admission

import (
	"math"
	"time"
)

// AverageTime is the time constant of Average. It spans two heartbeats, so that
// a report describes more than the moment at which it was sent.
const AverageTime = 2 * time.Second

// Average is an exponentially weighted moving average over time of a count, for
// Load.Busy. The zero value starts at zero.
type Average struct {
	value float64
	count float64
	last  time.Duration
}

// Set notes that the count has a new value from now on.
func (a *Average) Set(now time.Duration, count int) {
	a.value = a.Value(now)
	a.count = float64(count)
	a.last = max(a.last, now)
}

// Value returns the average up to now.
func (a *Average) Value(now time.Duration) float64 {
	d := max(0, now-a.last)
	k := math.Exp(-d.Seconds() / AverageTime.Seconds())

	return a.count + (a.value-a.count)*k
}
