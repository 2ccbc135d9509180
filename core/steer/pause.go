package steer

import "time"

// detectPause restarts all timeouts if this process was paused. It runs before each
// message, because messages that arrived during the pause may be handled before the next
// Tick.
func (c *Core) detectPause(now time.Duration) {
	if now-c.lastTick > minPause {
		c.lastTick = now
		c.restartTimers(now)
	}
}
