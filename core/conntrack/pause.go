package conntrack

import "time"

// pauseTime is the time between two Ticks from which the process counts as paused:
// what it waited for may have come meanwhile, and waits in its sockets.
const pauseTime = 60 * time.Millisecond

// notePause runs before each message is handled: after a pause, messages that came in
// it may be handled before the next Tick.
func (c *Core) notePause(now time.Duration) {
	if gap := now - c.lastTick; gap > pauseTime {
		c.lastTick = now
		c.forgive(now, gap)
	}
}

// forgive restarts all waits for the target after a pause of this process, or while its
// sockets are behind; gap does not count for requests in progress. SYNs that wait in the
// backlog expire nevertheless: their callers do not stand still.
func (c *Core) forgive(now, gap time.Duration) {
	c.target.since = now
	for _, f := range c.probes {
		f.used = now
	}
	c.work.shift(now, gap)
}

// shift lets a time pass that does not count for the requests in progress.
func (w *work) shift(now, d time.Duration) {
	for k, r := range w.requests {
		r.asked = min(now, r.asked+d)
		w.requests[k] = r
	}
	for k, at := range w.expected {
		w.expected[k] = min(now, at+d)
	}
}
