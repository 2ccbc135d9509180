package admission

import (
	"math"
	"time"
)

// AverageTimeConstant is the time constant of Average. It spans two heartbeats,
// so that a reported load describes more than the moment at which it was sent.
const AverageTimeConstant = 2 * time.Second

// Average is an exponentially weighted moving average over time of a count, used
// for Load.Busy. The zero value starts at zero.
type Average struct {
	value   float64
	count   float64
	updated time.Duration
}

// Set sets the count that applies from now on.
func (a *Average) Set(now time.Duration, count int) {
	a.value = a.Value(now)
	a.count = float64(count)
	a.updated = max(a.updated, now)
}

// Value returns the average at the time now.
func (a *Average) Value(now time.Duration) float64 {
	d := max(0, now-a.updated)
	k := math.Exp(-d.Seconds() / AverageTimeConstant.Seconds())

	return a.count + (a.value-a.count)*k
}
