package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target that counts as unstable because one idle flow was discarded, or
// that never counts as stable again.
func TestFlapDamping(t *testing.T) {
	is := is.New(t)
	d := flapDamping{}
	d.recordLostFlow(0)
	is.True(!d.unstable(0))
	d.recordLostFlow(lossWindow + time.Millisecond)
	is.True(!d.unstable(lossWindow + time.Millisecond))

	now := 2 * time.Second
	for _, wait := range []time.Duration{minUnstableTime, 2 * minUnstableTime, 4 * minUnstableTime} {
		d.recordLostFlow(now)
		d.recordLostFlow(now)
		is.True(d.unstable(now + wait - 1))
		is.True(!d.unstable(now + wait))
		now += wait
	}
	now += flapResetTime + maxUnstableTime
	d.recordLoss(now)
	is.True(!d.unstable(now + minUnstableTime))
}

// Guards against an unstable time that grows without bound.
func TestFlapDampingIsBounded(t *testing.T) {
	is := is.New(t)
	d := flapDamping{}
	now := time.Duration(0)
	for range 20 {
		d.recordLoss(now)
		is.True(d.unstableUntil-now <= maxUnstableTime)
		now += time.Second
	}
}
