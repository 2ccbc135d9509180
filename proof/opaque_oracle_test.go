package proof_test

import (
	"testing"
	"time"

	"ibisfold.example/core/segment"
)

// opaqueOracleSpan is the time between two packets of which the oracle hears.
const opaqueStrayInterval = 1100 * time.Millisecond

// opaqueArrivals lets three packets of a caller's flow reach other targets, over a
// little more than opaqueStrayTime, and returns what was broken. Between is called
// before the last of them.
func opaqueArrivals(t *testing.T, between func(w *opaqueWorld, c *opaqueCaller, owner *opaqueAgent)) []string {
	w := opaqueSite(t, 41, 2)
	c := w.addCaller("a", time.Minute)
	w.Run(time.Second)
	owner := w.holder(c)
	if owner == nil {
		t.Fatal("the flow is not open")
	}
	stray := func() {
		for _, a := range w.agents {
			if a != owner {
				w.recordArrival(a, &segment.Segment{
					Key:   c.key,
					Flags: segment.ACK,
				})

				return
			}
		}
	}
	stray()
	w.Run(opaqueStrayInterval)
	stray()
	w.Run(opaqueStrayInterval)
	between(w, c, owner)
	stray()

	return w.violations
}

// Guards against an oracle that is blind to misrouted flows, or that finds some where
// the target was reached, its VM had a fault, or the flow is not open.
func TestOpaqueMisrouteOracle(t *testing.T) {
	cases := []struct {
		name   string
		run    func(w *opaqueWorld, c *opaqueCaller, owner *opaqueAgent)
		broken int
	}{
		{"misrouted", func(*opaqueWorld, *opaqueCaller, *opaqueAgent) {}, 1},
		{"planned stop is no excuse", func(w *opaqueWorld, _ *opaqueCaller, owner *opaqueAgent) {
			w.stopAgent(owner, opaqueMinDowntime)
		}, 1},
		{"target reached", func(w *opaqueWorld, c *opaqueCaller, owner *opaqueAgent) {
			w.recordArrival(owner, &segment.Segment{
				Key:   c.key,
				Flags: segment.ACK,
			})
		}, 0},
		{"fault of the VM", func(w *opaqueWorld, _ *opaqueCaller, owner *opaqueAgent) {
			owner.impair(w.Now)
		}, 0},
		{"target ended", func(_ *opaqueWorld, _ *opaqueCaller, owner *opaqueAgent) {
			owner.target.gone = true
		}, 0},
		{"flow ended", func(w *opaqueWorld, c *opaqueCaller, _ *opaqueAgent) {
			w.openFlow(c)
		}, 0},
	}
	for _, c := range cases {
		if broken := opaqueArrivals(t, c.run); len(broken) != c.broken {
			t.Errorf("%s: %d broken, not %d: %v", c.name, len(broken), c.broken, broken)
		}
	}
}

// Guards against an oracle that waits for another stray of a flow whose packet is due.
func TestOpaqueMisrouteOracleWaits(t *testing.T) {
	w := opaqueSite(t, 42, 2)
	c := w.addCaller("a", time.Minute)
	w.Run(time.Second)
	owner := w.holder(c)
	w.recordRequest(c.key)
	w.recordRouting(c.key, w.entries[0])
	for _, a := range w.agents {
		if a != owner {
			w.recordArrival(a, &segment.Segment{
				Key:   c.key,
				Flags: segment.ACK,
			})
		}
	}
	w.Run(opaqueStrayTime)
	if len(w.violations) != 1 {
		t.Errorf("%d broken, not 1: %v", len(w.violations), w.violations)
	}
	if w.longestDeliveryGap() != opaqueStrayTime {
		t.Errorf("silence of %v", w.longestDeliveryGap())
	}
}
