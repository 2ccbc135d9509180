package proof_test

import "testing"

// Guards against a flow's first packet after the SYN at a target that got no SYN, because its
// agent lost its flow table. Later strays add up with it to a misroute, whether a trial
// follows after 3 or after 7 s. Found by TestOpaqueTrialsWithoutHandover with these seeds.
func TestOpaqueConfirmStrays(t *testing.T) {
	for _, seed := range []uint64{9036, 9110, 9165, 9231} {
		w := opaqueRolls(t, seed, opaqueHandover, (*opaqueWorld).killEntries)
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %d broken, first: %s", seed, len(w.violations), w.violations[0])
		}
	}
}
