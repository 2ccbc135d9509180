package steer

import (
	"time"
)

// confirmInterval is the minimum time between two requests for a confirmation of the list. After a
// power loss all entries have flows to reset at the same time, and each request is a call to the
// configuration service, whose rate is limited for all of them together.
const confirmInterval = 50 * time.Millisecond

// listProof is what shows that the list has all targets that may hold a flow.
type listProof struct {
	// proven means that the configuration service confirmed the list, with an answer that it
	// made no earlier than at.
	proven bool
	at     time.Duration
	// requested means that a confirmation was requested, last at requestedAt.
	requested   bool
	requestedAt time.Duration
}

// record notes that the service made an answer that confirmed the list no earlier than at.
func (p *listProof) record(at time.Duration) {
	if p.proven {
		at = max(at, p.at)
	}
	p.proven = true
	p.at = at
}

// covers reports whether the list has the target of every flow that was open at a time: a target
// is registered before it gets flows, and stays known for as long as it may hold them.
func (p *listProof) covers(t time.Duration) bool {
	return p.proven && p.at >= t
}

// requestConfirmation asks for a confirmation of the list by the configuration service itself. The
// next one that comes by itself may be a second away, and callers wait for it.
func (c *Core) requestConfirmation(now time.Duration) {
	p := &c.listState.proof
	if p.requested && now-p.requestedAt < confirmInterval {
		return
	}
	p.requested = true
	p.requestedAt = now
	c.commands = append(c.commands, ConfirmList{})
	c.note(now, Note{
		Decision: ConfirmationRequested,
		ListAge:  c.listAge(now),
	})
}
