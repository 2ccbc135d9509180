package proof_test

import (
	"testing"
	"time"

	"ibisfold.example/core/segment"
)

// opaqueStrayInterval is the time between two packets that reach other targets.
const opaqueStrayInterval = 1100 * time.Millisecond

// opaqueArrivals lets three packets of a caller's flow reach other targets, over slightly
// more than opaqueStrayTime, and returns the violations. It calls between before the last
// of them.
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

// TestOpaqueMisrouteOracle guards against an oracle that overlooks misrouted flows, or
// that reports a flow although its target was reached, its VM had a fault, or the flow is
// not open.
func TestOpaqueMisrouteOracle(t *testing.T) {
	cases := []struct {
		name       string
		run        func(w *opaqueWorld, c *opaqueCaller, owner *opaqueAgent)
		violations int
	}{
		{"misrouted", func(*opaqueWorld, *opaqueCaller, *opaqueAgent) {}, 1},
		{"planned stop does not count as a fault", func(w *opaqueWorld, _ *opaqueCaller, owner *opaqueAgent) {
			w.stopAgent(owner, opaqueDowntime)
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
		if violations := opaqueArrivals(t, c.run); len(violations) != c.violations {
			t.Errorf("%s: %d violations, not %d: %v", c.name, len(violations), c.violations, violations)
		}
	}
}

// TestOpaqueMisrouteOracleWaits guards against an oracle that reports a misrouted flow
// only at its next stray, although a packet is due and opaqueStrayTime is over.
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
		t.Errorf("%d violations, not 1: %v", len(w.violations), w.violations)
	}
	if w.longestDeliveryGap() != opaqueStrayTime {
		t.Errorf("longest delivery gap is %v", w.longestDeliveryGap())
	}
}
