package simclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against events that run out of order, or in an order that differs between
// runs: a seed would no longer give the same trace.
func TestOrder(t *testing.T) {
	is := is.New(t)
	c := Clock{}
	order := []string{}
	note := func(name string) func() {
		return func() {
			order = append(order, name)
		}
	}
	c.After(2*time.Second, note("late"))
	c.After(time.Second, note("first"))
	c.After(time.Second, note("second"))
	c.After(3*time.Second, note("never"))
	c.Run(2 * time.Second)
	is.Equal(order, []string{"first", "second", "late"})
	is.Equal(c.Now, 2*time.Second)
}

// Guards against a repeated event that drifts.
func TestEvery(t *testing.T) {
	is := is.New(t)
	c := Clock{}
	times := []time.Duration{}
	c.Every(time.Second, 2*time.Second, func() {
		times = append(times, c.Now)
	})
	c.Run(6 * time.Second)
	is.Equal(times, []time.Duration{time.Second, 3 * time.Second, 5 * time.Second})
}
