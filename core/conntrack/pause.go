package conntrack

import "time"

// minPauseTime is the time between two Ticks above which the process counts as paused:
// what it was waiting for may have arrived during the pause and may still be in its
// sockets.
const minPauseTime = 60 * time.Millisecond

// detectPause runs before each message is handled, because messages that arrived during a
// pause may be handled before the next Tick.
func (c *Core) detectPause(now time.Duration) {
	if gap := now - c.lastTick; gap > minPauseTime {
		c.lastTick = now
		c.evidence.recordPause(now, gap)
		c.restartTimeouts(now, gap)
	}
}

// restartTimeouts restarts all timeouts of the target after a pause of this process, or
// while its sockets are behind; the gap does not count for requests in progress. SYNs in
// the backlog expire nevertheless, because their callers were not paused.
func (c *Core) restartTimeouts(now, gap time.Duration) {
	c.target.firstUnanswered = now
	c.target.check.pending = false
	for _, f := range c.probes {
		f.lastUsed = now
	}
	c.inflight.shift(now, gap)
}

// shift excludes a duration from the time that requests have been in progress.
func (f *inflight) shift(now, d time.Duration) {
	for k, r := range f.requests {
		r.sentAt = min(now, r.sentAt+d)
		f.requests[k] = r
	}
	for k, at := range f.expected {
		f.expected[k] = min(now, at+d)
	}
}
