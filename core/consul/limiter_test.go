package consul

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceBoundsRate guards against more calls in any second than the share
// of one process, which would overload the service for the whole fleet.
func TestPaceBoundsRate(t *testing.T) {
	is := is.New(t)
	p := &pace{}
	starts := []time.Duration{}
	now := time.Duration(0)
	for range 20 {
		now = p.take(now)
		starts = append(starts, now)
	}
	for i := CallsPerSecond; i < len(starts); i++ {
		is.True(starts[i]-starts[i-CallsPerSecond] >= time.Second)
	}
}

// TestPaceBacksOff guards against a process that keeps calling a service that
// is down at the full rate, and against a pause that never ends.
func TestPaceBacksOff(t *testing.T) {
	is := is.New(t)
	p := &pace{}
	now := time.Duration(0)
	last := time.Duration(0)
	for range 20 {
		at := p.take(now)
		last = at - now
		now = at
		p.done(now, false, 0.5)
	}
	is.Equal(last, lastBackOff)

	p.done(now, true, 0)
	is.True(p.take(now)-now <= time.Second)
}
