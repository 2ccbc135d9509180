package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/catalog"
)

const (
	// serviceWait bounds how long a watch at the service waits for changes,
	// sourceServiceWait the same for a source, and sourceWait a watch at a source. They
	// also bound how long a silent connection stays unnoticed: a new configuration has to
	// be in force within 3 s even if the source is cut off or frozen.
	//
	// sourceServiceWait is shorter than sourceWait by the duration of a call, so that a
	// watch at a source is answered by the source's next answer from the service instead
	// of timing out just before it. Confirmations thus reach all processes within
	// sourceServiceWait + sourceBatchDelay + sourceTimeout, 1.8 s, plus network delays.
	serviceWait       = 1300 * time.Millisecond
	sourceServiceWait = 900 * time.Millisecond
	sourceWait        = 1000 * time.Millisecond
	// serviceTimeout bounds how long a call to the service may take beyond its wait,
	// sourceTimeout the same for a source's call to the service and for a call to a source.
	serviceTimeout = 700 * time.Millisecond
	sourceTimeout  = 500 * time.Millisecond
	// timeoutStep is added to the timeout of a call to the service for each consecutive
	// failed one, up to maxTimeout, so that a service that has become slow can still answer.
	timeoutStep = 500 * time.Millisecond
	maxTimeout  = 1500 * time.Millisecond
	// batchDelay is the pause after changes, so that the next call returns several at once;
	// sourceBatchDelay is that of a source. During startupTime after the start the pause is
	// only startupBatchDelay, because changes are urgent then: after a power failure the
	// targets come back at the same time.
	batchDelay        = 700 * time.Millisecond
	sourceBatchDelay  = 400 * time.Millisecond
	startupBatchDelay = 250 * time.Millisecond
	startupTime       = 4 * time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// minAvoidTime is how long a source is not called after a failure; the time doubles with
	// each consecutive failure, up to maxAvoidTime.
	minAvoidTime = time.Second
	maxAvoidTime = 30 * time.Second
	// pollWait is the wait of a watch that only polls for changes. It is not zero because
	// the service accepts whole milliseconds, at least one.
	pollWait = time.Millisecond
	// minOutageTime is how long the service has to be unavailable before entries of living
	// targets may have expired.
	minOutageTime = time.Second
)

// Follower keeps a process up to date with the configuration service by calling the service
// or a source. Set the exported fields before Run.
type Follower struct {
	Service Upstream
	// Log, if not nil, serves to followers what this process sees of the service while it is
	// a source.
	Log *Log
	// Change receives the changes of one answer, in order, and whether the answer confirms
	// the list of targets. It is called by one goroutine at a time.
	Change func(changes []catalog.Change, c Confirmation)
	// Confirmed is called after each answer of a current upstream, also without changes,
	// with its Confirmation; it comes after Change.
	Confirmed func(Confirmation)
	// Called is called before each call to the service or, if isSource is set, to a source.
	Called func(isSource bool)
	// Failed is called after each failed call to a followed upstream, with its error.
	Failed func(error)
	// Recovered is called when an upstream answers again, with the time since the last
	// answer.
	Recovered func(time.Duration)
	// Restored is called when an answer shows that the service came back from an older copy
	// of its data.
	Restored func(Restore)

	mutex sync.Mutex
	// isSource means that other processes follow this one, relist that it has just become a
	// source and has to list the service again.
	isSource bool
	relist   bool
	sources  []*followedSource
	// learnDue means that the sources have to be asked for departed targets.
	learnDue        bool
	confirmRequests confirmRequests
	// wake ends the pause between two calls.
	wake chan struct{}

	reportMutex sync.Mutex
	// learning means that the sources are being asked for departed targets. Meanwhile
	// confirmations are held back: pendingConfirmation is the latest one, which came at
	// pendingSince; it is not Current if there is none.
	learning            bool
	pendingConfirmation Confirmation
	pendingSince        time.Time
	// configReported means that some answer had a configuration. Until then the sources are
	// asked again at relearnAt, which is relearnPause after the last time.
	configReported bool
	relearnAt      time.Time
	relearnPause   time.Duration

	// position is that of the newest answer that was reported. It only goes back on an
	// answer of the service, never on one of a source.
	position Position
	// listed means that the catalog was listed, and that changes continue from position.
	listed bool
	// restoredAt is when an answer first showed the last return of the service from an
	// older copy.
	restoredAt time.Time
	started    time.Time
	lastAnswer time.Time
	failing    bool
	// answered means that an upstream has answered since the start.
	answered bool
	// serviceNext means that the next call goes to the service: a source has failed, and
	// changes that it did not report may be overdue.
	serviceNext bool
	// outageEnd is the end of the last outage that was longer than minOutageTime.
	outageEnd  time.Time
	retryDelay time.Duration
	// lastBatchDelay is the pause after the last changes; the next watch at the service is
	// shorter by it.
	lastBatchDelay time.Duration
	// failures is the number of consecutive failed calls to the service.
	failures int
}

// followedSource is a source that this process may call, with its backoff.
type followedSource struct {
	upstream Upstream
	// avoidUntil is when the source may be called again, avoidTime the length of the last
	// pause.
	avoidUntil time.Time
	avoidTime  time.Duration
}

// Follow sets the sources to follow, in order of preference, and whether this process is a
// source itself and thus watches the service.
func (f *Follower) Follow(isSource bool, sources []Upstream) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.relist = f.relist || isSource && !f.isSource
	f.learnDue = f.learnDue || f.sources == nil || isSource && !f.isSource
	f.isSource = isSource
	if !isSource && f.Log != nil {
		f.Log.MarkUnavailable()
	}
	f.sources = []*followedSource{}
	for _, s := range sources {
		f.sources = append(f.sources, &followedSource{
			upstream: s,
		})
	}
}

// Run keeps the catalog up to date until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.started = time.Now()
	f.lastAnswer = f.started
	f.mutex.Lock()
	wake := f.wakeUp()
	f.mutex.Unlock()
	for ctx.Err() == nil {
		f.startLearning(ctx)
		pause := f.step(ctx)
		select {
		case <-time.After(pause):
		case <-wake:
		case <-ctx.Done():
		}
	}

	return nil
}

// step makes one call and returns the pause before the next one.
func (f *Follower) step(ctx context.Context) time.Duration {
	isSource, s := f.chooseUpstream(time.Now())
	confirm := f.takeConfirmRequest()
	switch {
	case confirm:
		return f.confirmAtService(ctx, isSource)
	case s == nil:
		return f.callService(ctx, isSource)
	case isSource:
		return f.bootstrapFromSource(ctx, s)
	default:
		return f.callSource(ctx, s)
	}
}

// chooseUpstream returns whether this process is a source, and the source to call next, or
// nil for the service. A process that is a source itself or has no listing yet calls a
// source only after the service has failed.
func (f *Follower) chooseUpstream(now time.Time) (isSource bool, next *followedSource) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.relist {
		// The Log of a new source has to begin with a listing.
		f.relist = false
		f.listed = false
	}
	if f.serviceNext || (f.isSource || !f.listed) && !f.failing {
		return f.isSource, nil
	}
	if f.isSource && f.listed {
		return true, nil
	}
	for _, s := range f.sources {
		if now.After(s.avoidUntil) {
			return f.isSource, s
		}
	}

	return f.isSource, nil
}

// callService makes one call to the service.
func (f *Follower) callService(ctx context.Context, isSource bool) time.Duration {
	wait, limit := serviceWait-f.lastBatchDelay, serviceTimeout
	f.lastBatchDelay = 0
	if isSource {
		wait, limit = sourceServiceWait, sourceTimeout
	}
	if f.serviceNext {
		wait = pollWait
	}
	limit = min(limit+time.Duration(f.failures)*timeoutStep, maxTimeout)
	b, err := f.askService(ctx, f.needsListing(), wait, limit)
	switch {
	case errors.Is(err, errInterrupted):
		return 0
	case errors.Is(err, ErrHistoryGone):
		f.listed = false
		f.Failed(err)

		return 0
	case err != nil:
		pause := f.recordFailure(ctx, err, isSource)
		if isSource && f.listed && time.Since(f.lastAnswer) > minOutageTime {
			return f.followOtherSources(ctx, pause)
		}

		return pause
	}

	return f.acceptServiceAnswer(b, isSource)
}

// acceptServiceAnswer takes an answer of the service and returns the pause before the next call.
func (f *Follower) acceptServiceAnswer(b Batch, isSource bool) time.Duration {
	f.serviceNext = false
	if f.failing && !f.answered {
		// The outage may have begun long before this process.
		f.outageEnd = time.Now()
	}
	f.recordSuccess()
	f.moveTo(b.Position)
	f.listed = true
	if isSource && f.Log != nil {
		b.AfterOutage = f.afterOutage()
		f.Log.Add(b)
	}
	f.apply(b, true)
	if len(b.Changes) == 0 || b.Complete {
		return 0
	}
	pause := f.pauseAfterChanges(isSource)
	if !isSource {
		f.lastBatchDelay = pause
	}

	return pause
}

// needsListing reports whether the next call to the service has to be a listing. After an
// outage a watch could miss that entries of living targets expired.
func (f *Follower) needsListing() bool {
	return !f.listed || f.failing && time.Since(f.lastAnswer) > minOutageTime
}

// call lists the catalog or watches it for changes. It rejects an answer that comes after the
// deadline: the process may have been paused and can't tell how old the answer is.
func (f *Follower) call(ctx context.Context, u Upstream, list bool, wait, limit time.Duration) (Batch, error) {
	if list {
		wait = 0
	}
	end := time.Now().Add(wait + limit)
	c, cancel := context.WithDeadline(ctx, end)
	defer cancel()

	b, err := Batch{}, error(nil)
	switch {
	case list:
		b, err = u.List(c)
	case wait > pollWait:
		b, err = f.watch(c, u, wait)
	default:
		b, err = u.Watch(c, f.position, wait)
	}
	if err == nil && time.Now().After(end) {
		return Batch{}, errors.Annotate(ErrUnavailable, "answer came after the deadline")
	}

	return b, err
}

// watch watches an upstream until it answers or a confirmation is requested. Errors: those of the
// upstream, errInterrupted.
func (f *Follower) watch(ctx context.Context, u Upstream, wait time.Duration) (Batch, error) {
	c, release := f.interruptible(ctx)
	b, err := u.Watch(c, f.position, wait)
	if interrupted := release(); interrupted && err != nil && ctx.Err() == nil {
		return Batch{}, errInterrupted
	}

	return b, err
}

// callSource makes one call to a source. If it fails, the service is called at once.
func (f *Follower) callSource(ctx context.Context, s *followedSource) time.Duration {
	list := !f.listed
	f.Called(true)
	b, err := f.call(ctx, s.upstream, list, sourceWait, sourceTimeout)
	if err == nil {
		err = f.checkSourceAnswer(&b)
	}
	switch {
	case errors.Is(err, errInterrupted):
		return 0
	case err != nil:
		f.avoidSource(ctx, s, err)

		return 0
	}
	s.avoidTime = 0
	f.recordSuccess()
	f.moveTo(b.Position)
	f.listed = true
	// Only a source that is current answers a watch.
	f.apply(b, b.Current || !list)

	return 0
}

// bootstrapFromSource lists the catalog from another source while a source that has just
// started can't reach the service. The next call goes to the service again and lists it: the
// Log has to begin with a listing of the service, so that its history has no gap.
func (f *Follower) bootstrapFromSource(ctx context.Context, s *followedSource) time.Duration {
	f.Called(true)
	b, err := f.call(ctx, s.upstream, true, 0, sourceTimeout)
	if err == nil {
		err = f.checkSourceAnswer(&b)
	}
	if err != nil {
		f.avoidSource(ctx, s, err)

		return 0
	}
	f.serviceNext = true
	f.moveTo(b.Position)
	f.apply(b, b.Current)
	if f.Log != nil {
		f.Log.Learn(b)
	}

	return f.backoff()
}

// avoidSource stops calling a source that failed, for a time that doubles with each failure.
func (f *Follower) avoidSource(ctx context.Context, s *followedSource, err error) {
	if ctx.Err() != nil {
		return
	}
	s.avoidTime = min(max(2*s.avoidTime, minAvoidTime), maxAvoidTime)
	s.avoidUntil = time.Now().Add(s.avoidTime)
	s.upstream.Disconnect()
	f.serviceNext = true
	f.dropPendingConfirmation()
	f.Failed(err)
}

// pauseAfterChanges returns the pause after an answer with changes.
func (f *Follower) pauseAfterChanges(isSource bool) time.Duration {
	switch {
	case time.Since(f.started) < startupTime:
		return startupBatchDelay
	case isSource:
		return sourceBatchDelay
	default:
		return batchDelay
	}
}

// afterOutage reports whether entries of living targets may still be missing after an outage.
func (f *Follower) afterOutage() bool {
	return !f.outageEnd.IsZero() && time.Since(f.outageEnd) < catalog.LapseGrace
}

// recordSuccess updates the state after an answer of the followed upstream.
func (f *Follower) recordSuccess() {
	now := time.Now()
	if f.failing {
		f.failing = false
		f.Recovered(now.Sub(f.lastAnswer))
		if now.Sub(f.lastAnswer) > minOutageTime {
			f.outageEnd = now
		}
	}
	f.answered = true
	f.lastAnswer = now
	f.retryDelay = 0
	f.failures = 0
}

// recordFailure updates the state after a failed call to the service and returns the pause
// before the next call.
func (f *Follower) recordFailure(ctx context.Context, err error, isSource bool) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	f.stopConfirmRequests()
	f.failing = true
	f.failures++
	f.serviceNext = false
	f.dropPendingConfirmation()
	f.Failed(err)
	f.Service.Disconnect()
	if isSource && f.Log != nil {
		f.Log.MarkUnavailable()
	}

	return f.backoff()
}

// backoff returns the pause before the next call, which grows exponentially and is jittered.
func (f *Follower) backoff() time.Duration {
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)

	return f.retryDelay/2 + rand.N(f.retryDelay/2)
}
