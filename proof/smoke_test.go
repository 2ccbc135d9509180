package proof_test

import (
	"testing"
)

// TestWithoutFaults guards against steps that violate an invariant without any fault.
func TestWithoutFaults(t *testing.T) {
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			c := cell{
				step:  s,
				fault: faults()[0],
				phase: phases[0],
			}
			w := runCell(c, *seedFlag, breakNothing)
			answers := 0
			for _, k := range w.callers {
				answers += k.answers
			}
			if answers == 0 {
				t.Error("no request was answered")
			}
			if len(w.oracle.failures) > 0 {
				t.Errorf("%s: %s", formatCounts(w.oracle.failures), w.oracle.first)
			}
			t.Logf("answers %d, resets %d, given up %d, unknown %d, inputs %d", answers, w.oracle.resets, w.oracle.givenUp, w.oracle.unknown, w.inputs)
		})
	}
}
