package steer

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against searches that take more memory, and ticks that take more time, than
// intended with 3,700 targets: after a power outage the owners of all flows are searched
// for.
func TestSearchesBeforeManyAgents(t *testing.T) {
	is := is.New(t)
	const flows = 100
	c := newTestCore(3700)
	c.queries.tokenBucket = newTokenBucket(0, 1<<40, 1)
	// One agent is unavailable, so the searches go on.
	agents := newTestAgents(c.listedOrder[1:], relay.Unsure)
	begin := func(first, last int, now time.Duration) {
		for i := first; i < last; i++ {
			agents.update(c, now, testPacket(i, segment.ACK))
		}
		for end := now + 10*TickTime; now < end; now += TickTime {
			agents.update(c, now, Tick{})
		}
	}
	begin(0, 10, TickTime)
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin(10, 10+flows, 11*TickTime)
	began := time.Now()
	c.Update(21*TickTime, Tick{})
	took := time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := (after.HeapAlloc - before.HeapAlloc) / flows
	t.Logf("%d searches: %d bytes each, %d MB for %d; a tick took %v", len(c.searches), each,
		each*maxSearches>>20, maxSearches, took)
	is.True(each*maxSearches <= 80<<20)
}
