package steer

import (
	"net/netip"
	"time"
)

// Evidence identifies what shows that an agent can't serve its flows any more.
type Evidence uint8

const (
	// EvidenceNone means that nothing does.
	EvidenceNone Evidence = iota
	// TargetEnded means that the agent said that its target has ended.
	TargetEnded
	// VMUnreachable means that the agent does not answer, and that its VM answered no
	// connection attempt while another agent's did.
	VMUnreachable
	// ProcessGone means that the agent does not answer, and that its VM refused connections
	// to its process for longer than a restart takes.
	ProcessGone
	evidences
)

var evidenceNames = [evidences]string{
	EvidenceNone:  "none",
	TargetEnded:   "target ended",
	VMUnreachable: "vm unreachable",
	ProcessGone:   "process gone",
}

// EvidenceNames returns the names of all evidence, in the order of its values.
func EvidenceNames() []string {
	return evidenceNames[:]
}

// String returns the evidence's name in logs.
func (e Evidence) String() string {
	if e >= evidences {
		return "invalid"
	}

	return evidenceNames[e]
}

// lostFlows is what an entry remembers of the flows that it reset because their agent was
// gone, until the agent is heard again.
type lostFlows struct {
	count    int
	last     time.Duration
	evidence Evidence
}

// add records the reset of a flow.
func (l *lostFlows) add(now time.Duration, e Evidence) {
	l.count++
	l.last = now
	l.evidence = e
}

// noteLostFlows logs the flows that were reset before an agent is heard again. Within the
// age of the oldest flow its target may still hold them. The end of a target that the agent
// told itself is certain.
func (c *Core) noteLostFlows(now time.Duration, from netip.AddrPort, a *agent) {
	l := a.lost
	a.lost = lostFlows{}
	if l.count == 0 || l.evidence == TargetEnded || now-l.last >= c.MaxFlowAge {
		return
	}
	c.note(now, Note{
		Decision: LostAgentBack,
		Agent:    from,
		Count:    l.count,
		Evidence: l.evidence,
	})
}

// knownGone returns the evidence on which flows of the agent were reset already.
func (a *agent) knownGone() Evidence {
	if a.targetEnded {
		return TargetEnded
	}

	return a.goneBy
}
