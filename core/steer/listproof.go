package steer

import "time"

const (
	// minConfirmInterval and maxConfirmInterval bound the time between two requests for a
	// confirmation of the list, which doubles with each of them. After a power loss all entries
	// have flows to reset at the same time, and each request is a call to the configuration
	// service, whose rate is limited for all of them together.
	minConfirmInterval = 50 * time.Millisecond
	maxConfirmInterval = 400 * time.Millisecond
	// confirmCalmTime is the time without a request after which the interval is the shortest again.
	confirmCalmTime = time.Second
)

// listProof is what shows that the list has all targets that may hold a flow.
type listProof struct {
	// proven means that the configuration service confirmed the list, with an answer that it
	// made no earlier than at.
	proven bool
	at     time.Duration
	// requestedAt is when a confirmation was last requested, interval the time until the next
	// request; zero before the first one.
	requestedAt time.Duration
	interval    time.Duration
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

// allowRequest reports whether a confirmation may be requested now, and notes that it is.
func (p *listProof) allowRequest(now time.Duration) bool {
	since := now - p.requestedAt
	switch {
	case p.interval == 0 || since >= confirmCalmTime:
		p.interval = minConfirmInterval
	case since < p.interval:
		return false
	default:
		p.interval = min(2*p.interval, maxConfirmInterval)
	}
	p.requestedAt = now

	return true
}

// requestConfirmation asks for a confirmation of the list by the configuration service itself. The
// next one that comes by itself may be a second away, and callers wait for it.
func (c *Core) requestConfirmation(now time.Duration) {
	if !c.listState.proof.allowRequest(now) {
		return
	}
	c.commands = append(c.commands, ConfirmList{})
	c.note(now, Note{
		Decision: ConfirmationRequested,
	})
}
