package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/conntrack"
)

// checkTarget connects to the target of an agent and tells the agent what its VM's kernel
// answers: a target that stands still keeps its port.
func (w *opaqueWorld) checkTarget(a *opaqueAgent) {
	core := a.core
	w.After(0, func() {
		if a.core == core && !a.down {
			w.agentUpdate(a, conntrack.TargetChecked{
				Refused: !a.target.reacts(),
			})
		}
	})
}

// TestOpaqueSlowTargets guards against flows that end because their target gets no processor
// time for longer than its silence is noticed, while it holds them.
func TestOpaqueSlowTargets(t *testing.T) {
	is := is.New(t)
	w := opaqueSite(t, 41, 2)
	w.dedupe = true
	callers := w.addPersistentCallers(60, 20*time.Millisecond)
	w.Run(2 * time.Second)
	opaqueTotals(callers)
	for i, a := range w.agents {
		a.target.stalledUntil = w.Now + time.Duration(500+50*i)*time.Millisecond
		w.Run(2 * time.Second)
	}
	w.check()
	_, answers, resets, timeouts := opaqueTotals(callers)
	is.Equal(resets, 0)
	is.Equal(timeouts, 0)
	is.True(answers > 1000)
}
