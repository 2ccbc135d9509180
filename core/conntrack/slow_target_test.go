package conntrack

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against resets of flows whose target lives and only gets no processor time: the time
// of its silence is no proof that it lost its flows. Agents and entries stood still for 300 to
// 500 ms on busy machines, and so may targets. Issue 39, FLOW.
func TestTargetSlowerThanDownTime(t *testing.T) {
	is := is.New(t)
	c, now := busyCore()
	for end := now + 600*time.Millisecond; now < end; now += TickTime {
		for _, x := range c.Update(now, Tick{}) {
			if r, ok := x.(Reset); ok {
				t.Errorf("flow %v reset after %v of silence of a living target", r.Key, now-2*TickTime)
			}
		}
	}
	// The target goes on and answers all its requests.
	for i := range 4 {
		c.Update(now, targetAnswer(testFlow(i), 0, 1))
		f := c.flows[testFlow(i)]
		is.True(f != nil && f.state == stateHeld)
	}
}
