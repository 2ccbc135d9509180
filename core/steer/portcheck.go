package steer

import (
	"net/netip"
	"time"
)

const (
	// minCheckQueries is the number of unanswered queries from which an agent's port is
	// checked.
	minCheckQueries = 2
	// portCheckTimeout is when a check without a result counts as lost. It exceeds the duration
	// of the two connection attempts of a check.
	portCheckTimeout = 300 * time.Millisecond
	// portCheckInterval is the time between two checks of a port unless it is silent.
	portCheckInterval = 300 * time.Millisecond
	// minSilentChecks is the number of successive checks that a port has to leave
	// unanswered, because the opening packet of a single connection may be lost.
	minSilentChecks = 2
)

// PortState is what a TCP connection to a port of an agent's VM met. The kernel of the VM
// answers, so the state does not depend on how soon the agent gets processor time.
type PortState uint8

const (
	// PortUnknown means that no conclusion is possible.
	PortUnknown PortState = iota
	// PortAccepted means that the agent's process is there.
	PortAccepted
	// PortRefused means that the VM is there and the agent's process is not.
	PortRefused
	// PortSilent means that nothing answered.
	PortSilent
	portStates
)

var portStateNames = [portStates]string{
	PortUnknown:  "unknown",
	PortAccepted: "accepted",
	PortRefused:  "refused",
	PortSilent:   "silent",
}

// String returns the state's name in logs.
func (s PortState) String() string {
	if s >= portStates {
		return "invalid"
	}

	return portStateNames[s]
}

// portCheck is what an entry knows of the port of a silent agent. The zero value is that of
// an agent that was just heard.
type portCheck struct {
	// pending means that the result of the last check is awaited, which was asked for at sent.
	pending bool
	sent    time.Duration
	state   PortState
	// since is when the first of the successive checks was asked for that found the present
	// state, count their number.
	since time.Duration
	count int
}

// record notes the result of a check. It reports whether the state is a new one.
func (p *portCheck) record(s PortState) bool {
	p.pending = false
	changed := s != p.state || p.count == 0
	if changed {
		p.since = p.sent
		p.count = 0
	}
	p.state = s
	p.count++

	return changed
}

// due reports whether the port is to be checked: not any more once its state is evidence.
func (p *portCheck) due(now time.Duration, policy *Policy) bool {
	switch {
	case p.evidence(now, policy) != EvidenceNone:
		return false
	case p.pending:
		return now-p.sent >= portCheckTimeout
	case p.state == PortSilent || p.sent == 0:
		return true
	}

	return now-p.sent >= portCheckInterval
}

// checkPort asks for a check of an agent that leaves queries unanswered. Another agent that
// was heard a moment ago is checked with it: if that one does not answer either, the fault is
// this entry's, or lies between.
func (c *Core) checkPort(now time.Duration, addr netip.AddrPort, a *agent) {
	stopping := c.inPlannedStop(now, a) && !a.targetEnded
	if a.unanswered < minCheckQueries || stopping || !a.port.due(now, c.Policy) {
		return
	}
	a.port.pending = true
	a.port.sent = now
	c.commands = append(c.commands, CheckPort{
		Agent: addr,
		Other: c.lastHeardFrom,
	})
}

// handlePortCheck handles the result of a check, unless the agent was heard or this process
// was paused since the check began.
func (c *Core) handlePortCheck(now time.Duration, m PortChecked) {
	a, ok := c.agents[m.Agent]
	if !ok || !a.port.pending {
		return
	}
	if m.State == PortSilent && m.OtherState != PortAccepted {
		m.State = PortUnknown
	}
	if a.port.record(m.State) {
		c.note(now, Note{
			Decision: SilentPortChecked,
			Agent:    m.Agent,
			Count:    a.unanswered,
			Port:     m.State,
		})
	}
}

// restart discards what is known, after a pause of this process.
func (p *portCheck) restart() {
	*p = portCheck{
		sent: p.sent,
	}
}

// isClosed reports whether the last check found no process. That is no evidence that the target
// has ended, only that no process passes packets to it now.
func (p *portCheck) isClosed() bool {
	return p.state == PortRefused || p.state == PortSilent
}

// evidence returns what the state of the port shows. A process that is not there may be back
// within StopTime, and its target holds its flows meanwhile.
func (p *portCheck) evidence(now time.Duration, policy *Policy) Evidence {
	since := now - p.since
	switch {
	case p.state == PortSilent && p.count >= minSilentChecks && since >= policy.UnreachableTime:
		return VMUnreachable
	case p.state == PortRefused && since >= policy.StopTime:
		return ProcessGone
	}

	return EvidenceNone
}
