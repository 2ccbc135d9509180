package steer

import "time"

// notePause runs before each message is handled: after a pause, messages that came in
// it may be handled before the next Tick.
func (c *Core) notePause(now time.Duration) {
	if now-c.lastTick > pauseTime {
		c.lastTick = now
		c.forgive(now)
	}
}
