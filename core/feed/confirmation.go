package feed

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// confirmTimeout bounds the duration of a call that only confirms the list. Callers wait for
	// it, and changes that a source tells meanwhile wait as well.
	confirmTimeout = 300 * time.Millisecond
	// maxConfirmPause bounds the time for which no confirmation is requested after one failed.
	maxConfirmPause = 8 * time.Second
)

// errInterrupted means that a watch was ended because a confirmation was requested.
const errInterrupted = errors.ConstError("watch interrupted")

// Confirmation states whether an answer confirms that the list of targets is current.
type Confirmation struct {
	// Current means that the upstream was current and so confirms the list.
	Current bool
	// Age is the time since the service's own answer reached this process or the source,
	// without the network delay between the source and this process.
	Age time.Duration
	// MaxAge is an upper bound on the time since the service made that answer, without the
	// same delay: Age leaves out how long the answer was under way, and how long a process that
	// stood still had it unread. It is maxAge if the source does not tell it.
	MaxAge time.Duration
}

// since returns the Confirmation with its ages counted from d later.
func (c Confirmation) since(d time.Duration) Confirmation {
	c.Age += d
	c.MaxAge += d

	return c
}

// confirmRequests is the state of the requests for a confirmation. Follower.mutex protects it.
type confirmRequests struct {
	// allowed means that the service answers and that its changes can be watched, so a request
	// makes sense.
	allowed bool
	due     bool
	// interrupt ends the present watch; nil if there is none.
	interrupt context.CancelFunc
	// avoidUntil is until when requests are ignored, because the last one failed; avoidTime is
	// how long that is.
	avoidUntil time.Time
	avoidTime  time.Duration
}

// RequestConfirmation makes the next call one to the service that is answered at once, and ends
// the present watch for it: the answer confirms the list of targets or tells what has changed. It
// does nothing while the service does not answer. It may be called by any goroutine.
func (f *Follower) RequestConfirmation() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := &f.confirmRequests
	if !r.allowed || time.Now().Before(r.avoidUntil) {
		return
	}
	r.due = true
	if r.interrupt != nil {
		r.interrupt()
	}
	select {
	case f.wakeUp() <- struct{}{}:
	default:
	}
}

// wakeUp returns the channel that ends the pause between two calls. The mutex has to be held.
func (f *Follower) wakeUp() chan struct{} {
	if f.wake == nil {
		f.wake = make(chan struct{}, 1)
	}

	return f.wake
}

// takeConfirmRequest reports whether a confirmation was requested since the last call. It also
// notes whether requests make sense during the next one.
func (f *Follower) takeConfirmRequest() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := &f.confirmRequests
	r.allowed = f.listed && !f.failing
	due := r.due && r.allowed
	r.due = false
	select {
	case <-f.wakeUp():
	default:
	}

	return due
}

// stopConfirmRequests ignores requests until the next call.
func (f *Follower) stopConfirmRequests() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.confirmRequests.allowed = false
	f.confirmRequests.due = false
}

// interruptible returns a context of a watch that RequestConfirmation ends, and a function that
// releases it and reports whether it was ended so.
func (f *Follower) interruptible(ctx context.Context) (context.Context, func() bool) {
	c, cancel := context.WithCancel(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.confirmRequests.interrupt = cancel
	if f.confirmRequests.due {
		cancel()
	}

	return c, func() bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.confirmRequests.interrupt = nil
		cancel()

		return f.confirmRequests.due
	}
}

// confirmAtService asks the service for changes without waiting for any. A failure is none of the
// followed upstream: the next call shows whether that answers.
func (f *Follower) confirmAtService(ctx context.Context, isSource bool) time.Duration {
	b, err := f.askService(ctx, false, pollWait, confirmTimeout)
	f.recordConfirmCall(err)
	switch {
	case errors.Is(err, ErrHistoryGone):
		f.listed = false
		f.Failed(err)

		return 0
	case err != nil:
		if ctx.Err() == nil {
			f.Failed(err)
		}

		return 0
	}

	pause := f.acceptServiceAnswer(b, isSource)
	if !isSource {
		// The next call goes to a source, which collects changes itself.
		f.lastBatchDelay = 0

		return 0
	}

	return pause
}

// recordConfirmCall notes the result of a confirmAtService. After a failure requests are ignored
// for a time that doubles with each further one.
func (f *Follower) recordConfirmCall(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := &f.confirmRequests
	if err == nil {
		r.avoidTime = 0

		return
	}
	r.avoidTime = min(max(2*r.avoidTime, minAvoidTime), maxConfirmPause)
	r.avoidUntil = time.Now().Add(r.avoidTime)
}

// askService makes one call to the service and sets the MaxAge of its answer. Errors: those of
// call, ErrOutdated.
func (f *Follower) askService(ctx context.Context, list bool, wait, limit time.Duration) (Batch, error) {
	f.Called(false)
	after, asked := f.position, time.Now()
	b, err := f.call(ctx, f.Service, list, wait, limit)
	if err == nil {
		err = f.checkServiceAnswer(&b)
	}
	if err != nil {
		return Batch{}, err
	}
	b.MaxAge = elapsedSince(asked)
	if !list && b.Position == after && b.MaxAge >= wait {
		// Without changes the service answers once the wait is over.
		b.MaxAge -= wait
	}

	return b, nil
}

// elapsedSince returns an upper bound on the time since t. The monotonic clock stands still while
// a VM is suspended, and the time of day goes on.
func elapsedSince(t time.Time) time.Duration {
	now := time.Now()

	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
