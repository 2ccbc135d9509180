package consul

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimiterBoundsRate guards against more calls in any second than one process is
// allowed, which would overload the service for all processes.
func TestLimiterBoundsRate(t *testing.T) {
	is := is.New(t)
	l := &limiter{}
	starts := []time.Duration{}
	now := time.Duration(0)
	for range 20 {
		now = l.reserve(now)
		starts = append(starts, now)
	}
	for i := MaxCallsPerSecond; i < len(starts); i++ {
		is.True(starts[i]-starts[i-MaxCallsPerSecond] >= time.Second)
	}
}

// TestLimiterBacksOff guards against a process that keeps calling an unavailable
// service at the full rate, and against a backoff that outlasts a success.
func TestLimiterBacksOff(t *testing.T) {
	is := is.New(t)
	l := &limiter{}
	now := time.Duration(0)
	last := time.Duration(0)
	for range 20 {
		at := l.reserve(now)
		last = at - now
		now = at
		l.record(now, false, 0.5)
	}
	is.Equal(last, maxBackoff)

	l.record(now, true, 0)
	is.True(l.reserve(now)-now <= time.Second)
}
