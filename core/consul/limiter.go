package consul

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// CallsPerSecond is the highest rate of calls of one process. The service
	// bears about 2,000 calls a second over all readers.
	CallsPerSecond = 2
	// firstBackOff is the pause after a failed call; it doubles with each one
	// up to lastBackOff.
	firstBackOff = 500 * time.Millisecond
	lastBackOff  = 30 * time.Second
)

// pace says when the next call may start. The zero value allows one at once.
type pace struct {
	// starts are the times of the last calls, the oldest first.
	starts   [CallsPerSecond]time.Duration
	calls    int
	failures int
	// notBefore is the end of the pause after a failure.
	notBefore time.Duration
}

// take reserves the next call and returns its time, which is now or later.
func (p *pace) take(now time.Duration) time.Duration {
	at := max(now, p.notBefore)
	if p.calls >= CallsPerSecond {
		at = max(at, p.starts[0]+time.Second)
	}
	copy(p.starts[:], p.starts[1:])
	p.starts[CallsPerSecond-1] = at
	p.calls++

	return at
}

// done notes the result of a call. jitter is random in [0, 1).
func (p *pace) done(now time.Duration, ok bool, jitter float64) {
	const maxShift = 10

	if ok {
		p.failures = 0
		p.notBefore = 0

		return
	}
	d := min(lastBackOff, firstBackOff<<min(p.failures, maxShift))
	p.failures++
	p.notBefore = now + d/2 + time.Duration(jitter*float64(d))
}

// clock is a pace on the process's time.
type clock struct {
	mu    sync.Mutex
	start time.Time
	pace  pace
}

func (c *clock) now() time.Duration {
	if c.start.IsZero() {
		c.start = time.Now()
	}

	return time.Since(c.start)
}

// wait blocks until the next call may start.
func (c *clock) wait(ctx context.Context) error {
	c.mu.Lock()
	now := c.now()
	at := c.pace.take(now)
	c.mu.Unlock()

	if at <= now {
		return ctx.Err()
	}
	t := time.NewTimer(at - now)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func (c *clock) done(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.pace.done(c.now(), ok, rand.Float64())
}
