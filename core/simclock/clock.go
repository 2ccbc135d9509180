// Package simclock is the virtual clock of simulations and of tests that run many
// processes on one timeline. It decides the order in which scheduled functions run.
package simclock

import (
	"container/heap"
	"time"
)

// Clock runs scheduled functions in the order of their virtual time. The zero value is
// ready to use and starts at time zero.
type Clock struct {
	// Now is the virtual time. Only Run and RunUntil change it.
	Now time.Duration

	events   eventHeap
	sequence uint64
}

// After schedules run after a delay of d. A negative d counts as zero.
func (c *Clock) After(d time.Duration, run func()) {
	c.At(c.Now+max(0, d), run)
}

// At schedules run at a virtual time. Functions of the same time run in the order in which
// they were scheduled.
func (c *Clock) At(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{
		at:       at,
		sequence: c.sequence,
		run:      run,
	})
}

// Every schedules run at the time first and then repeatedly at the given interval.
func (c *Clock) Every(first, interval time.Duration, run func()) {
	c.At(first, func() {
		run()
		c.Every(c.Now+interval, interval, run)
	})
}

// Run advances the clock by d and runs all functions that become due.
func (c *Clock) Run(d time.Duration) {
	c.RunUntil(c.Now + d)
}

// RunUntil advances the clock to end and runs all functions due up to and including end.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.run()
	}
	c.Now = end
}

// event is a scheduled function. Its sequence number orders events of the same time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap is a heap.Interface with the next event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}

	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	o := *h
	e := o[len(o)-1]
	*h = o[:len(o)-1]

	return e
}
