package consul

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// MaxCallsPerSecond is the highest rate of calls of one process. The service
	// handles about 2,000 calls per second from all readers together.
	MaxCallsPerSecond = 2
	// minBackoff is the pause after a failed call, before jitter. It doubles with
	// each consecutive failure up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// limiter decides when the next call may start: it limits the rate of calls and adds
// an exponential backoff after failures. The zero value allows a call at once.
type limiter struct {
	// starts are the start times of the last calls, the oldest first.
	starts [MaxCallsPerSecond]time.Duration
	// calls is the number of calls reserved so far.
	calls int
	// failures is the number of consecutive failures.
	failures int
	// notBefore is the end of the backoff after a failure.
	notBefore time.Duration
}

// reserve reserves the next call and returns its start time, which is not before now.
func (l *limiter) reserve(now time.Duration) time.Duration {
	at := max(now, l.notBefore)
	if l.calls >= MaxCallsPerSecond {
		at = max(at, l.starts[0]+time.Second)
	}
	copy(l.starts[:], l.starts[1:])
	l.starts[MaxCallsPerSecond-1] = at
	l.calls++

	return at
}

// record records the result of a call. jitter is random in [0, 1) and spreads the
// backoff from half to one and a half times its length.
func (l *limiter) record(now time.Duration, ok bool, jitter float64) {
	// maxShift keeps the shift from overflowing after many failures.
	const maxShift = 10

	if ok {
		l.failures = 0
		l.notBefore = 0

		return
	}
	d := min(maxBackoff, minBackoff<<min(l.failures, maxShift))
	l.failures++
	l.notBefore = now + d/2 + time.Duration(jitter*float64(d))
}

// throttle applies a limiter to the current time. Its methods wait and record are
// safe for concurrent use.
type throttle struct {
	mu      sync.Mutex
	start   time.Time
	limiter limiter
}

// now returns the time since the first call of now. The caller must hold th.mu.
func (th *throttle) now() time.Duration {
	if th.start.IsZero() {
		th.start = time.Now()
	}

	return time.Since(th.start)
}

// wait blocks until the next call may start. It returns the error of ctx if ctx is
// done first.
func (th *throttle) wait(ctx context.Context) error {
	th.mu.Lock()
	now := th.now()
	at := th.limiter.reserve(now)
	th.mu.Unlock()

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

// record records the result of a call that wait allowed.
func (th *throttle) record(ok bool) {
	th.mu.Lock()
	defer th.mu.Unlock()

	th.limiter.record(th.now(), ok, rand.Float64())
}
