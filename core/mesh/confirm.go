package mesh

import "time"

// Times of pause detection and of the lease on the view.
const (
	// MaxTickGap is the gap between ticks above which the process was paused.
	MaxTickGap = time.Second
	// Lease is how long a completed exchange confirms the view, from its start.
	Lease = 2 * time.Second
	// CutOffTimeout is how long a core waits for an answer before it goes on
	// with its last view.
	CutOffTimeout = 5 * time.Second
	// peerPrecedenceTime is how long peers have precedence over the
	// configuration service, which may be stale, for confirming the view.
	peerPrecedenceTime = time.Second
)

type confirmation struct {
	leaseEnd time.Duration
	// resumedAt is the time of the start or of the last pause.
	resumedAt time.Duration
	// synced is false from then until a peer was found to hold nothing newer.
	synced bool
	// lastConfirmed is the start of the last exchange that confirmed the view.
	lastConfirmed time.Duration
	cutOff        bool
}

// ConfirmedUntil returns the end of the lease on the view, or zero while the
// view is unconfirmed.
func (c *Core) ConfirmedUntil() time.Duration {
	if !c.confirmed() {
		return 0
	}

	return c.confirm.leaseEnd
}

func (c *Core) confirmed() bool {
	return c.confirm.leaseEnd > c.now && !c.empty()
}

// resume is called after a pause: whatever was learned before is old.
func (c *Core) resume() {
	c.counters.Pauses++
	c.confirm = confirmation{
		resumedAt: c.now,
	}
	c.exchange = exchanges{}
	c.fetch.resume(c)
	c.budget.queue = nil
	c.changed = true
}

// confirmByPeer takes in the result of a completed exchange. Level tells that the
// peer holds nothing that the view must wait for.
func (c *Core) confirmByPeer(started time.Duration, peerConfirmed, equal, upToDate bool) {
	k := &c.confirm
	if equal && k.cutOff {
		// Two nodes that were cut off found each other again.
		peerConfirmed = true
	}
	if !peerConfirmed || c.empty() {
		return
	}
	k.synced = k.synced || upToDate
	k.lastConfirmed = max(k.lastConfirmed, started)
	if !k.synced {
		return
	}
	k.cutOff = false
	c.renewLease(started + Lease)
}

func (c *Core) renewLease(leaseEnd time.Duration) {
	if leaseEnd <= c.confirm.leaseEnd {
		return
	}
	c.confirm.leaseEnd = leaseEnd
	c.changed = true
}

func (c *Core) confirmTick() {
	k := &c.confirm
	if k.leaseEnd != 0 && k.leaseEnd <= c.now {
		k.leaseEnd = 0
		c.changed = true
	}
	if c.empty() || c.now-max(k.lastConfirmed, k.resumedAt) < CutOffTimeout {
		return
	}
	if !k.cutOff {
		k.cutOff = true
		c.counters.CutOffs++
	}
	k.synced = true
	if k.leaseEnd-c.now < Lease/2 {
		c.renewLease(c.now + Lease)
	}
}
