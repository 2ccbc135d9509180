package simclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against functions that run out of order, or in an order that differs between runs.
// A simulation would then no longer be reproducible from its seed.
func TestOrder(t *testing.T) {
	is := is.New(t)
	c := Clock{}
	order := []string{}
	record := func(name string) func() {
		return func() {
			order = append(order, name)
		}
	}
	c.After(2*time.Second, record("late"))
	c.After(time.Second, record("first"))
	c.After(time.Second, record("second"))
	c.After(3*time.Second, record("never"))
	c.Run(2 * time.Second)
	is.Equal(order, []string{"first", "second", "late"})
	is.Equal(c.Now, 2*time.Second)
}

// Guards against a repeated function whose times drift.
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
