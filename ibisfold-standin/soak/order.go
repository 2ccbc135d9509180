package soak

import (
	"fmt"
	"time"

	"ibisfold.example/platform/platformtest"
)

// orders are the faults with several steps.
var orders = []fault{
	{name: "config unusable", run: (*testbed).writeUnusable, order: true},
	{name: "config decimal", run: (*testbed).writeDecimal, order: true},
	{name: "config lower", run: (*testbed).writeLower, order: true},
	{name: "config disturbed", run: (*testbed).writeDisturbed, order: true},
	{name: "config lost", run: func(b *testbed) { b.loseConfig(3) }, order: true},
	{name: "config lost, number used again", run: func(b *testbed) { b.loseConfig(0) }, order: true},
	{name: "agents roll", run: (*testbed).rollAgents, order: true},
	{name: "entries roll", run: (*testbed).rollEntries, order: true},
	{name: "entries join", run: (*testbed).joinEntries, order: true},
	{name: "agents stall", run: (*testbed).stallAgents, order: true},
	{name: "other writers", run: (*testbed).restartBesideOtherWriters, order: true},
	{name: "entries without catalog", run: (*testbed).killEntriesBesideFrozenAgents, order: true},
	{name: "release beside frozen source", run: (*testbed).releaseBesideFrozenSource, order: true},
}

// order holds what an order draws from the seed.
type order struct {
	// wait is the time between two steps of the order.
	wait time.Duration
	// huge chooses a huge number, form the form of a value that can't be used.
	huge bool
	form int
	// lost is the number of versions that are lost.
	lost int
	// disturb disturbs the entries right after an ack.
	disturb disturbance
	// entry is the entry that a disturbance of one entry hits.
	entry *vm
	// agents and entries are half of those of each zone, delays holds a delay for each of them.
	agents  []*vm
	entries []*vm
	delays  []time.Duration
}

const (
	// minOrderWait and maxOrderWait bound the wait between two steps of an order.
	minOrderWait = time.Second
	maxOrderWait = 3 * time.Second
)

// startOrder draws an order, runs its steps and unlocks the testbed's order. The steps must not
// use the random numbers of the testbed.
func (b *testbed) startOrder(steps func(o *order)) {
	o := &order{
		wait:    minOrderWait + time.Duration(b.random.Int64N(int64(maxOrderWait-minOrderWait))),
		huge:    b.random.IntN(2) == 0,
		form:    b.random.IntN(platformtest.UnusableForms()),
		lost:    1 + b.random.IntN(maxLost),
		disturb: disturbances[b.random.IntN(len(disturbances))],
		entry:   pick(b, b.entries),
		agents:  b.randomHalf(b.agents),
		entries: b.randomHalf(b.entries),
	}
	for range b.agents {
		o.delays = append(o.delays, time.Duration(b.random.Int64N(int64(maxStopDelay))))
	}
	go func() {
		defer b.order.Unlock()
		steps(o)
	}()
}

// describe prints the variant of an order.
func (o *order) describe(format string, args ...any) {
	fmt.Printf("%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}
