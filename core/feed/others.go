package feed

import (
	"context"
	"time"
)

// followOthers spends the pause after a call at the service that failed with the other
// sources, so that the list of a source which the service refuses does not go stale.
// What they tell is not passed on as current. It returns what is left of the pause.
func (f *Follower) followOthers(ctx context.Context, pause time.Duration) time.Duration {
	end := time.Now().Add(pause)
	// What came during the call at the service is told at once.
	if !f.watchOther(ctx, lookWait) {
		return max(0, time.Until(end))
	}
	f.watchOther(ctx, max(lookWait, time.Until(end)))

	return max(0, time.Until(end))
}

// watchOther watches the first source that answers and reports whether one did.
func (f *Follower) watchOther(ctx context.Context, wait time.Duration) bool {
	for {
		p := f.other(time.Now())
		if p == nil || ctx.Err() != nil {
			return false
		}
		f.Called(true)
		b, err := f.call(ctx, p.upstream, false, wait, sourceTime)
		if err == nil && b.Revision >= f.revision {
			f.apply(b, true)
			if f.Log != nil {
				f.Log.Learn(b)
			}

			return true
		}
		// A source that refused may be current soon, so the time does not grow.
		p.avoid = time.Now().Add(avoidLeast)
		p.upstream.Disconnect()
	}
}

// other returns the source to follow while the service does not answer; nil if all
// have failed lately.
func (f *Follower) other(now time.Time) *peer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.peers {
		if now.After(p.avoid) {
			return p
		}
	}

	return nil
}
