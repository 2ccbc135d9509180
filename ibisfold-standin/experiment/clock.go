package experiment

import (
	"container/heap"
	"time"
)

// clock runs scheduled functions in the order of their virtual time.
type clock struct {
	now    time.Duration
	events eventHeap
	serial uint64
}

type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

// after schedules run at d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.at(c.now+max(0, d), run)
}

// at schedules run at a time; events of the same time run in the order of their scheduling.
func (c *clock) at(at time.Duration, run func()) {
	c.serial++
	heap.Push(&c.events, event{
		at:     at,
		serial: c.serial,
		run:    run,
	})
}

// every schedules run at first and then each interval.
func (c *clock) every(first, interval time.Duration, run func()) {
	c.at(first, func() {
		run()
		c.every(c.now+interval, interval, run)
	})
}

// runUntil runs all events up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
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
