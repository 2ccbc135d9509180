package proof_test

import "testing"

// TestOpaqueConfirmStrays guards against sending a flow's first packet after the SYN to a
// target that got no SYN, because the target's agent lost its flow table. With later
// strays such a packet adds up to a misroute, whether a probe follows after 3 or after 7 s.
// Found by TestOpaqueTrialsWithoutHandover with these seeds.
func TestOpaqueConfirmStrays(t *testing.T) {
	for _, seed := range []uint64{9036, 9110, 9165, 9231} {
		w := opaqueRolls(t, seed, opaqueHandover, (*opaqueWorld).killEntries)
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(w.violations), w.violations[0])
		}
	}
}
