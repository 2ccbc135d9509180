package mesh

import "time"

// Times of pause detection and of the lease on the view.
const (
	// PauseGap is the gap between ticks above which the process was paused.
	PauseGap = time.Second
	// Lease is how long a completed exchange confirms the view, from its start.
	Lease = 2 * time.Second
	// CutOffAfter is how long a core waits for an answer before it goes on
	// with its last view.
	CutOffAfter = 5 * time.Second
	// configConfirmsAfter is how long peers have precedence over the
	// configuration service, which may be stale, for confirming the view.
	configConfirmsAfter = time.Second
)

type confirmation struct {
	until time.Duration
	// since is the time of the start or of the last pause.
	since time.Duration
	// synced is false from then until a peer was found to hold nothing newer.
	synced bool
	// answered is the start of the last exchange that confirmed the view.
	answered time.Duration
	cutOff   bool
}

// ConfirmedUntil returns the end of the lease on the view, or zero while the
// view is unconfirmed.
func (c *Core) ConfirmedUntil() time.Duration {
	if !c.confirmed() {
		return 0
	}

	return c.confirm.until
}

func (c *Core) confirmed() bool {
	return c.confirm.until > c.now && !c.empty()
}

// wake is called after a pause: whatever was learned before is old.
func (c *Core) wake() {
	c.counters.Pauses++
	c.confirm = confirmation{
		since: c.now,
	}
	c.exchange = exchanges{}
	c.fetch.wake(c)
	c.budget.queue = nil
	c.changed = true
}

// answer takes in the result of a completed exchange. Level tells that the
// peer holds nothing that the view must wait for.
func (c *Core) answer(started time.Duration, peerConfirmed, equal, level bool) {
	k := &c.confirm
	if equal && k.cutOff {
		// Two nodes that were cut off found each other again.
		peerConfirmed = true
	}
	if !peerConfirmed || c.empty() {
		return
	}
	k.synced = k.synced || level
	k.answered = max(k.answered, started)
	if !k.synced {
		return
	}
	k.cutOff = false
	c.renew(started + Lease)
}

func (c *Core) renew(until time.Duration) {
	if until <= c.confirm.until {
		return
	}
	c.confirm.until = until
	c.changed = true
}

func (c *Core) confirmTick() {
	k := &c.confirm
	if k.until != 0 && k.until <= c.now {
		k.until = 0
		c.changed = true
	}
	if c.empty() || c.now-max(k.answered, k.since) < CutOffAfter {
		return
	}
	if !k.cutOff {
		k.cutOff = true
		c.counters.CutOffs++
	}
	k.synced = true
	if k.until-c.now < Lease/2 {
		c.renew(c.now + Lease)
	}
}
