package proof_test

import (
	"testing"
	"time"
)

// opaqueClockJump is how far a VM's clock is set back.
const opaqueClockJump = 2400 * time.Millisecond

// TestOpaqueClockSetBack guards against resets of flows at a target that started 2 s
// before its agent: the VM's clock was set back in between, so that the target seems to
// have started after the agent.
func TestOpaqueClockSetBack(t *testing.T) {
	w, _ := opaqueServing(t, 33, 2, 60, 500*time.Millisecond)
	for _, a := range w.agents {
		a.target.restart()
		a.target.born = w.wall()
	}
	w.publish()
	w.Run(2*time.Second - opaqueDowntime)
	for _, a := range w.agents {
		a.down = true
	}
	w.Run(opaqueDowntime)
	for _, a := range w.agents {
		w.startAgent(a, false)
		a.core.Started -= opaqueClockJump.Milliseconds()
	}
	for _, e := range w.entries {
		w.startEntry(e)
	}
	w.Run(time.Second)
	w.check()
}
