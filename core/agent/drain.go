package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

// drainGrace is how long a leaving target still gets requests that no peer
// takes. It is below the 3 s after which a leaving target must get no new work.
const drainGrace = 2 * time.Second

// offerQuietTime is the time without an offer from a peer that must pass before
// a shutdown ends. It is three times the longest time after which an offer is
// repeated.
const offerQuietTime = 3 * (maxOfferRetryDelay + maxOfferRetryDelay/4)

// drainState is the progress of a drain or a graceful shutdown.
type drainState struct {
	// since is when the target last began to leave, began whether it is leaving
	// now.
	since   time.Duration
	began   bool
	stopped bool
	// stopping is set by Stop; stopUntil is when the shutdown ends at the latest.
	stopping  bool
	stopUntil time.Duration
	// formerCheckedAt is when dropFormerGroups last ran.
	formerCheckedAt time.Duration
	// lastOfferAt is when the last offer of a peer arrived, copies included.
	lastOfferAt time.Duration
}

// updateDrain records the start and the end of a drain. At the start it
// notifies the peers and places waiting requests again.
func (c *Core) updateDrain() {
	d := &c.drain
	if !c.leaving() {
		d.began = false
		return
	}
	if d.began {
		return
	}
	d.began = true
	d.since = c.now
	if c.group != nil {
		c.sendHeartbeats(c.group, c.group.peers)
	}
	c.reassignWaiting()
}

// stop starts a graceful shutdown.
func (c *Core) stop() {
	d := &c.drain
	if d.stopping {
		return
	}
	d.stopping = true
	d.stopUntil = c.now + c.options.StopTimeout
	c.updateDrain()
	c.finishStop()
}

// advanceDrain starts handovers of the flows that must leave this agent.
func (c *Core) advanceDrain() {
	c.repeatAnnouncements()
	c.dropFormerGroups()
	if c.inService() && !c.leaving() && len(c.formerGroups) == 0 {
		return
	}

	c.promoteUnused()
	started := 0
	for f := c.flows.live.first; f != nil && started < maxHandoversPerTick && len(c.handovers) < maxHandovers; f = f.next {
		if f.state != active || !c.mustHandOver(f) || !c.mayHandOver(f) {
			continue
		}
		if q := c.handoverPeer(f); q != nil {
			c.startHandover(f, q)
			started++
		}
	}
}

// promoteUnused lets flows that their callers have not used within halfOpenTime
// be handed over like others, because a caller may open a flow long before its
// first request. At a shutdown without a usable peer they expire, because no
// caller is known to need them.
func (c *Core) promoteUnused() {
	for f := c.flows.halfOpenFlows.first; f != nil && f.lastUsed+halfOpenTime <= c.now; {
		next := f.next
		switch {
		case !c.mustHandOver(f):
		case c.handoverPeer(f) != nil:
			c.flows.promote(f)
		case c.drain.stopping:
			c.expireFlow(f)
		}
		f = next
	}
}

// mayHandOver reports whether a flow may be handed over: it is idle, or it has
// stayed busy for pauseAfter and has not just been paused without becoming
// idle.
func (c *Core) mayHandOver(f *flow) bool {
	if f.requests == nil {
		return true
	}
	_, tried := c.busyFlows.get(f.key)

	return !tried && c.now-c.drain.since >= pauseAfter
}

// mustHandOver reports whether a flow must leave this agent, because the target
// is leaving or no longer serves the flow's service.
func (c *Core) mustHandOver(f *flow) bool {
	return c.leaving() || !c.view.Known || f.key.service != c.view.Service
}

// handoverPeer returns the usable peer with the fewest flows for its slots, or
// nil. It skips peers in backoff after an aborted handover.
func (c *Core) handoverPeer(f *flow) *peer {
	g := c.groupOf(f.key.service)
	if g == nil {
		return nil
	}

	var best *peer
	for _, q := range g.peers {
		if !q.usable() || q.backoffUntil > c.now {
			continue
		}
		if best == nil || q.load.Flows*max(1, best.Slots) < best.load.Flows*max(1, q.Slots) {
			best = q
		}
	}

	return best
}

// finishStop ends a graceful shutdown when no work is left, or when StopTimeout
// has passed.
func (c *Core) finishStop() {
	d := &c.drain
	if !d.stopping || d.stopped {
		return
	}
	if c.now < d.stopUntil && !c.finished() {
		return
	}

	c.giveUpAll(&c.Counters.FlowsCut)
	d.stopped = true
	c.emit(Stopped{})
}

// finished reports whether no caller or peer needs this agent any more. Answers
// to offers are not acknowledged, so the owners get offerQuietTime to ask
// again.
func (c *Core) finished() bool {
	return c.flows.len() == 0 && c.inProgress.len == 0 && c.forwards.open == 0 &&
		c.now-c.drain.lastOfferAt >= offerQuietTime
}

// giveUpAll ends all requests and flows. Requests that were neither passed to
// the target nor offered to a peer did not run; the others may have.
func (c *Core) giveUpAll(flows *uint64) {
	c.queue.Remove(func(*request) bool {
		return true
	})
	for r := c.inProgress.first; r != nil; r = c.inProgress.first {
		c.giveUp(r)
	}
	c.giveUpFlows(c.flows.halfOpenFlows.first, flows)
	c.giveUpFlows(c.flows.live.first, flows)
}

func (c *Core) giveUp(r *request) {
	if r.state == offeredToPeer {
		c.cancelOffer(r)
	}
	c.refuse(r, retryAfterUnavailable)
}

// giveUpFlows resets the flows of a list. Copies that a peer still owns are
// removed without a reset. The status is an unknown outcome: the reset ends
// whatever the caller waits for, and the answer to a request that ran may have
// been lost.
func (c *Core) giveUpFlows(f *flow, count *uint64) {
	for f != nil {
		next := f.next
		if f.state != adopted {
			*count++
			c.reply(f, packet.Packet{
				Kind:       packet.Reset,
				Status:     packet.StatusOutcomeUnknown,
				RetryAfter: c.retryAfter(retryAfterUnavailable),
			})
		}
		c.removeFlow(f)
		f = next
	}
}
