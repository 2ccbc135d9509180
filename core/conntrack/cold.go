package conntrack

import "time"

// coldLimiter is a token bucket that limits the rate of new flows to a target that has
// just started. Every new flow of the target passes this limiter, whichever entry sent it.
type coldLimiter struct {
	tokens     float64
	lastRefill time.Duration
	cold       bool
}

// allow takes a token and reports whether there was one. The rate is in new flows per
// second; zero means no limit. The bucket holds the tokens of 250 ms, but at least one.
func (b *coldLimiter) allow(now time.Duration, rate float64) bool {
	if rate <= 0 {
		b.cold = false

		return true
	}
	if !b.cold {
		b.cold = true
		b.tokens = 1
		b.lastRefill = now
	}
	b.tokens = min(max(1, rate/4), b.tokens+rate*(now-b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}
