package proof_test

import "testing"

// TestRegressions guards against the return of faults that the matrix or the fuzzer has
// found, each in the shortest cell or world that showed it.
func TestRegressions(t *testing.T) {
	for _, c := range []struct {
		name  string
		cell  string
		world uint64
	}{
		{
			name: "entry resets flows of an agent that pauses",
			cell: "drain / agent pauses 10 s / during",
		},
		{
			name: "entry resets flows of a zone that is cut off",
			cell: "none / entry pauses 10 s, zone cut off / before",
		},
		{
			name: "reset for a zone taken out reports a request as not run that ran",
			cell: "zone out / 30% loss / before",
		},
		{
			name:  "the same in the fuzzer",
			world: 17633229008728782980,
		},
		{
			name: "reset of a copy of Open ends the flow at another agent",
			cell: "replace VM / none / before",
		},
		{
			name:  "the same in the fuzzer",
			world: 17633123455612474724,
		},
		{
			name:  "entry relays tokens from before its pause",
			world: 7010820382580633536,
		},
		{
			name:  "flows of a former service are never handed over after a cut",
			world: 9238900621317348275,
		},
		{
			name:  "reset of a flow that was handed over into a zone taken out",
			world: 14835144835025753598,
		},
		{
			name:  "planned stop of the agent of the last target in service",
			world: 1414713607825754588,
		},
		{
			name:  "flow at an agent that has stopped",
			world: 4212978101435810574,
		},
		{
			name:  "first ticket later than 5 s after all processes start at once",
			world: 12037134328601814353,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.cell != "" {
				s := runCell(cellNamed(t, c.cell), 1, breakNothing)
				if len(s.oracle.failures) > 0 {
					t.Errorf("%s: %s", formatCounts(s.oracle.failures), s.oracle.first)
				}

				return
			}
			if v := runWorld(c.world, breakNothing); len(v.failures) > 0 {
				t.Errorf("%s: %s", formatCounts(v.failures), v.first)
			}
		})
	}
}
