package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

// drainGrace is how long a leaving target still gets requests that no peer
// takes. It is below the 3 s after which a leaving target gets no new work.
const drainGrace = 2 * time.Second

// offersQuiet is how long no offer must have arrived before a shutdown ends. It
// is three times the longest time after which an offer is repeated.
const offersQuiet = 3 * (offerDelayMax + offerDelayMax/4)

// drainState is the progress of a drain or a graceful shutdown.
type drainState struct {
	// since is when the target began to leave.
	since   time.Duration
	began   bool
	stopped bool
	// stopping is set by Stop; stopUntil bounds the shutdown.
	stopping  bool
	stopUntil time.Duration
	formerAt  time.Duration
	// offeredAt is when the last offer of a peer arrived, copies included.
	offeredAt time.Duration
}

// changeDrain notes the begin and the end of a drain.
func (c *Core) changeDrain() {
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
	c.replaceWaiting()
}

// stop starts a graceful shutdown.
func (c *Core) stop() {
	d := &c.drain
	if d.stopping {
		return
	}
	d.stopping = true
	d.stopUntil = c.now + c.options.StopTimeout
	c.changeDrain()
	c.finishStop()
}

// advanceDrain hands over flows that are to leave this agent.
func (c *Core) advanceDrain() {
	c.repeatAnnouncements()
	c.dropFormer()
	if c.inService() && !c.leaving() && len(c.former) == 0 {
		return
	}

	c.promoteUnused()
	started := 0
	for f := c.flows.live.first; f != nil && started < handoversPerTick && len(c.handovers) < handoversMax; f = f.next {
		if f.state != active || !c.leaves(f) || !c.mayPause(f) {
			continue
		}
		if q := c.flowPeer(f); q != nil {
			c.startHandover(f, q)
			started++
		}
	}
}

// promoteUnused makes flows that their callers have not used in time leave like
// others: a caller may open a flow long before its first request. At a shutdown
// without peers they end, because nobody is known to need them.
func (c *Core) promoteUnused() {
	for f := c.flows.half.first; f != nil && f.used+halfOpenTime <= c.now; {
		next := f.next
		switch {
		case !c.leaves(f):
		case c.flowPeer(f) != nil:
			c.flows.promote(f)
		case c.drain.stopping:
			c.expire(f)
		}
		f = next
	}
}

// mayPause reports whether a flow is idle or has been busy for too long.
func (c *Core) mayPause(f *flow) bool {
	if f.open == nil {
		return true
	}
	_, tried := c.busyFlows.get(f.key)

	return !tried && c.now-c.drain.since >= pauseAfter
}

// leaves reports whether a flow is to be handed over.
func (c *Core) leaves(f *flow) bool {
	return c.leaving() || !c.view.Known || f.key.service != c.view.Service
}

// flowPeer returns the peer with the fewest flows for its slots, or nil.
func (c *Core) flowPeer(f *flow) *peer {
	g := c.groupOf(f.key.service)
	if g == nil {
		return nil
	}

	var best *peer
	for _, q := range g.peers {
		if !q.usable() || q.restUntil > c.now {
			continue
		}
		if best == nil || q.load.Flows*max(1, best.Slots) < best.load.Flows*max(1, q.Slots) {
			best = q
		}
	}

	return best
}

// finishStop ends a graceful shutdown when nothing is left, or at its bound.
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

// finished reports whether nobody needs this agent any more. Answers to offers
// have no acknowledgement, so their owners get time to ask again.
func (c *Core) finished() bool {
	return c.flows.len() == 0 && c.progress.len == 0 && c.forwards.open == 0 &&
		c.now-c.drain.offeredAt >= offersQuiet
}

// giveUpAll ends everything. Requests that were not passed on did not run; the
// others may have.
func (c *Core) giveUpAll(flows *uint64) {
	c.queue.Remove(func(*request) bool {
		return true
	})
	for r := c.progress.first; r != nil; r = c.progress.first {
		c.giveUp(r)
	}
	c.giveUpFlows(c.flows.half.first, flows)
	c.giveUpFlows(c.flows.live.first, flows)
}

func (c *Core) giveUp(r *request) {
	if r.state == offeredToPeer {
		c.cancelOffer(r)
	}
	c.refuse(r, retryAfterOut)
}

// giveUpFlows resets a list of flows. Copies that a peer still owns are only
// forgotten. The reset ends whatever the caller waits for, and the answer to a
// request that ran may have been lost, so the outcome is unknown.
func (c *Core) giveUpFlows(f *flow, count *uint64) {
	for f != nil {
		next := f.next
		if f.state != adopted {
			*count++
			c.reply(f, packet.Packet{
				Kind:       packet.Reset,
				Status:     packet.StatusOutcomeUnknown,
				RetryAfter: c.retryAfter(retryAfterOut),
			})
		}
		c.forget(f)
		f = next
	}
}
