package mesh

import "time"

// Times of pause detection and of the lease on the view.
const (
	// MaxTickGap bounds the gap between two ticks; after a longer one the
	// process counts as paused.
	MaxTickGap = time.Second
	// Lease is how long a completed exchange confirms the view, counted from
	// the start of the exchange.
	Lease = 2 * time.Second
	// CutOffTimeout is how long a core waits for an exchange with a peer whose
	// view is confirmed. After that it counts as cut off and goes on with its
	// last view.
	CutOffTimeout = 5 * time.Second
	// peerPrecedenceTime is how long after a start or pause only peers may
	// confirm the view, because the configuration service may be stale.
	peerPrecedenceTime = time.Second
)

// confirmation is the lease on the view. The view is the merged state that the
// process acts on; it is confirmed while the lease runs.
type confirmation struct {
	// leaseEnd is zero without a lease.
	leaseEnd time.Duration
	// resumedAt is the time of the start or of the end of the last pause.
	resumedAt time.Duration
	// synced is false after resumedAt until a peer was found to hold nothing
	// newer, or the core stopped waiting for one.
	synced bool
	// lastConfirmed is the start of the last completed exchange with a peer
	// whose view was confirmed, or zero.
	lastConfirmed time.Duration
	// cutOff is set while no such peer answers and the core confirms its view
	// by itself.
	cutOff bool
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

// resume starts afresh after a pause: what was learned before may be out of
// date, so the lease, the open exchanges and the queued messages are dropped.
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

// confirmByPeer renews the lease after a completed exchange. started is the
// start of the exchange; upToDate means that the peer holds nothing that the
// view must wait for.
func (c *Core) confirmByPeer(started time.Duration, peerConfirmed, equal, upToDate bool) {
	k := &c.confirm
	if equal && k.cutOff {
		// Two nodes that were both cut off report unconfirmed views. When they
		// find each other again, equal states suffice.
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

// confirmTick ends an expired lease, and lets a core that is cut off confirm
// its own view.
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
