// Package simclock is the virtual clock of simulations and of tests that play many
// processes at once.
package simclock

import (
	"container/heap"
	"time"
)

// Clock runs scheduled functions in the order of their virtual time. The zero value
// is at time zero and works.
type Clock struct {
	// Now is the virtual time. Only Run changes it.
	Now time.Duration

	events eventHeap
	serial uint64
}

// After schedules run at d from now; a negative d is now.
func (c *Clock) After(d time.Duration, run func()) {
	c.At(c.Now+max(0, d), run)
}

// At schedules run at a time; events of the same time run in the order of their scheduling.
func (c *Clock) At(at time.Duration, run func()) {
	c.serial++
	heap.Push(&c.events, event{
		at:     at,
		serial: c.serial,
		run:    run,
	})
}

// Every schedules run at first and then each interval.
func (c *Clock) Every(first, interval time.Duration, run func()) {
	c.At(first, func() {
		run()
		c.Every(c.Now+interval, interval, run)
	})
}

// Run lets d pass and runs all events within it.
func (c *Clock) Run(d time.Duration) {
	c.RunUntil(c.Now + d)
}

// RunUntil runs all events up to end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.run()
	}
	c.Now = end
}

type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}

	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	o := *h
	e := o[len(o)-1]
	*h = o[:len(o)-1]

	return e
}
