package feed

import (
	"context"
	"time"
)

// followOtherSources watches other sources during the pause after a failed call to the
// service, so that the list of a source whose calls the service rejects does not become
// stale. What they report is not served as current. It returns the rest of the pause.
func (f *Follower) followOtherSources(ctx context.Context, pause time.Duration) time.Duration {
	end := time.Now().Add(pause)
	// Changes that came during the call to the service are reported at once.
	if !f.watchOtherSource(ctx, pollWait) {
		return max(0, time.Until(end))
	}
	f.watchOtherSource(ctx, max(pollWait, time.Until(end)))

	return max(0, time.Until(end))
}

// watchOtherSource watches the first source that answers and reports whether one did.
func (f *Follower) watchOtherSource(ctx context.Context, wait time.Duration) bool {
	for {
		s := f.nextSource(time.Now())
		if s == nil || ctx.Err() != nil {
			return false
		}
		f.Called(true)
		b, err := f.call(ctx, s.upstream, false, wait, sourceTimeout)
		if err == nil && f.checkSourceAnswer(&b) == nil {
			f.moveTo(b.Position)
			f.apply(b, true)
			if f.Log != nil {
				f.Log.Learn(b)
			}

			return true
		}
		// A source that refused a watch may soon be current again, so the time does not grow.
		s.avoidUntil = time.Now().Add(minAvoidTime)
		s.upstream.Disconnect()
	}
}

// nextSource returns the first source that is not avoided, or nil if there is none.
func (f *Follower) nextSource(now time.Time) *followedSource {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, s := range f.sources {
		if now.After(s.avoidUntil) {
			return s
		}
	}

	return nil
}
