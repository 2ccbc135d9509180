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
	// serviceWait is how long a watch at the service waits for changes, ownWait the same
	// for a source's own watch, and sourceWait for a watch at a source. ownWait is shorter
	// by the time of a call, so that a watch at a source ends with the source's answer from
	// the service, not just before it. So confirmations reach all within ownWait, sourceGather
	// and sourceTime, 1.8 s, and the ways. They bound the time
	// until a silent connection is noticed. A new configuration has to be in force
	// after 3 s also where the source is cut off or stands still.
	serviceWait = 1300 * time.Millisecond
	ownWait     = 900 * time.Millisecond
	sourceWait  = 1000 * time.Millisecond
	// serviceTime is what a call at the service may take beyond its wait, sourceTime
	// the same for a source's own call and for a call at a source.
	serviceTime = 700 * time.Millisecond
	sourceTime  = 500 * time.Millisecond
	// patience is added to that time for each call at the service that failed, up to
	// mostTime: a service that has turned slow still answers.
	patience = 500 * time.Millisecond
	mostTime = 1500 * time.Millisecond
	// gatherTime is the pause after changes, so that one call brings several, and
	// sourceGather that of a source. They are short while news is urgent: in the first
	// settleTime after the start, when targets that lost power come back too.
	gatherTime   = 700 * time.Millisecond
	sourceGather = 400 * time.Millisecond
	urgentGather = 250 * time.Millisecond
	settleTime   = 4 * time.Second
	retryLeast   = 50 * time.Millisecond
	retryMost    = 800 * time.Millisecond
	// avoidLeast is how long a source that failed is not followed; the time doubles
	// with each further failure, up to avoidMost.
	avoidLeast = time.Second
	avoidMost  = 30 * time.Second
	// lookWait is the wait of a watch that only asks what is new. The service takes
	// whole milliseconds from 1.
	lookWait = time.Millisecond
	// outageTime is how long the service has to be out of reach before entries of
	// living targets may have expired.
	outageTime = time.Second
)

// Follower keeps up with the configuration service. Set the exported fields
// before Run.
type Follower struct {
	Service Upstream
	// Log, if not nil, passes on what this process sees of the service while it is a
	// source.
	Log *Log
	// Change takes the changes of one answer, in order, and whether the answer confirms
	// the list of targets. It is called by one goroutine at a time.
	Change func(changes []catalog.Change, c Confirmation)
	// Confirmed is called after Change, also without changes, when an upstream that is
	// current has answered, with the age of a Confirmation.
	Confirmed func(age time.Duration)
	// Called is called before each call at the service or, if source is set, at a source.
	Called func(source bool)
	// Lost is called when an upstream fails, with the error of each call.
	Lost func(error)
	// Regained is called when one answers again, with the time since the last answer.
	Regained func(time.Duration)

	mutex sync.Mutex
	// source means that other processes follow this one, relist that it has become one.
	source bool
	relist bool
	peers  []*peer
	// unlearned means that a source has to be asked for departed targets.
	unlearned bool

	reports sync.Mutex
	// learning means that the question for departed targets is open. The list was
	// confirmed meanwhile, last at held; zero if it was not.
	learning bool
	held     time.Time

	revision uint64
	started  time.Time
	answered time.Time
	failing  bool
	// direct means that the next call goes to the service: a source has failed, and
	// what it did not tell may be overdue.
	direct bool
	// outageEnd is when the last outage ended.
	outageEnd time.Time
	retry     time.Duration
	// gathered is the last pause after changes: the next watch is shorter by it.
	gathered time.Duration
	// failures counts the calls at the service that failed in a row.
	failures int
}

// peer is a source that may be followed.
type peer struct {
	upstream Upstream
	// avoid is until when it is not followed, wait how long that was the last time.
	avoid time.Time
	wait  time.Duration
}

// Follow sets the sources to follow, in order of preference, and whether this
// process is a source itself: it then watches the service.
func (f *Follower) Follow(source bool, peers []Upstream) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.relist = f.relist || source && !f.source
	f.unlearned = f.unlearned || f.peers == nil || source && !f.source
	f.source = source
	if !source && f.Log != nil {
		f.Log.Fail()
	}
	f.peers = []*peer{}
	for _, p := range peers {
		f.peers = append(f.peers, &peer{
			upstream: p,
		})
	}
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.started = time.Now()
	f.answered = f.started
	for ctx.Err() == nil {
		f.startLearning(ctx)
		pause := f.step(ctx)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}

	return nil
}

// step makes one call and returns the pause before the next.
func (f *Follower) step(ctx context.Context) time.Duration {
	source, p := f.choose(time.Now())
	switch {
	case p == nil:
		return f.followService(ctx, source)
	case source:
		return f.borrow(ctx, p)
	default:
		return f.followPeer(ctx, p)
	}
}

// choose returns whether this process is a source, and the peer to call next; nil
// is the service. A source, and a process that knows nothing yet, call a peer only
// if the service has failed.
func (f *Follower) choose(now time.Time) (source bool, next *peer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.relist {
		// What a source passes on begins with a listing.
		f.relist = false
		f.revision = 0
	}
	if f.direct || (f.source || f.revision == 0) && !f.failing {
		return f.source, nil
	}
	if f.source && f.revision != 0 {
		return true, nil
	}
	for _, p := range f.peers {
		if now.After(p.avoid) {
			return f.source, p
		}
	}

	return f.source, nil
}

// followService makes one call at the service.
func (f *Follower) followService(ctx context.Context, source bool) time.Duration {
	wait, limit := serviceWait-f.gathered, serviceTime
	f.gathered = 0
	if source {
		wait, limit = ownWait, sourceTime
	}
	if f.direct {
		wait = lookWait
	}
	limit = min(limit+time.Duration(f.failures)*patience, mostTime)
	f.Called(false)
	b, err := f.call(ctx, f.Service, f.lists(), wait, limit)
	if errors.Is(err, ErrHistory) {
		f.revision = 0
		f.Lost(err)

		return 0
	}
	if err != nil {
		pause := f.failed(ctx, err, source)
		if source && f.revision != 0 && time.Since(f.answered) > outageTime {
			return f.followOthers(ctx, pause)
		}

		return pause
	}

	f.direct = false
	f.succeeded()
	if source && f.Log != nil {
		b.AfterOutage = f.afterOutage()
		f.Log.Add(b)
	}
	f.apply(b, true)
	if len(b.Changes) == 0 || b.Complete {
		return 0
	}
	pause := f.gather(source)
	if !source {
		f.gathered = pause
	}

	return pause
}

// lists reports whether the next call at the service has to be a listing. After
// an outage a watch could miss that entries of living targets expired.
func (f *Follower) lists() bool {
	return f.revision == 0 || f.failing && time.Since(f.answered) > outageTime
}

// call lists or watches. An answer that comes after its time is not taken: a process
// that stood still can't tell how old it is.
func (f *Follower) call(ctx context.Context, u Upstream, list bool, wait, limit time.Duration) (Batch, error) {
	if list {
		wait = 0
	}
	end := time.Now().Add(wait + limit)
	c, cancel := context.WithDeadline(ctx, end)
	defer cancel()

	b, err := Batch{}, error(nil)
	if list {
		b, err = u.List(c)
	} else {
		b, err = u.Watch(c, f.revision, wait)
	}
	if err == nil && time.Now().After(end) {
		return Batch{}, errors.Annotate(ErrUnavailable, "answer is late")
	}

	return b, err
}

// followPeer makes one call at a source. If it fails the service is asked at once.
func (f *Follower) followPeer(ctx context.Context, p *peer) time.Duration {
	list := f.revision == 0
	f.Called(true)
	b, err := f.call(ctx, p.upstream, list, sourceWait, sourceTime)
	if err == nil && b.Revision < f.revision {
		err = errors.Annotate(ErrUnavailable, "source is behind")
	}
	if err != nil {
		f.leave(ctx, p, err)

		return 0
	}
	p.wait = 0
	f.succeeded()
	// A watch is answered by a source that is current only.
	f.apply(b, b.Current || !list)

	return 0
}

// borrow takes what a peer knows while a source that has just started can't reach
// the service. It goes on to try the service, so that what it passes on has no gap.
func (f *Follower) borrow(ctx context.Context, p *peer) time.Duration {
	f.Called(true)
	b, err := f.call(ctx, p.upstream, true, 0, sourceTime)
	if err != nil {
		f.leave(ctx, p, err)

		return 0
	}
	f.direct = true
	f.report(b.changes(b.AfterOutage), b.confirmation(b.Current))
	if f.Log != nil {
		f.Log.Learn(b)
	}

	return f.backoff()
}

// leave gives a peer up for a while.
func (f *Follower) leave(ctx context.Context, p *peer, err error) {
	if ctx.Err() != nil {
		return
	}
	p.wait = min(max(2*p.wait, avoidLeast), avoidMost)
	p.avoid = time.Now().Add(p.wait)
	p.upstream.Disconnect()
	f.direct = true
	f.unconfirm()
	f.Lost(err)
}

func (f *Follower) gather(source bool) time.Duration {
	switch {
	case time.Since(f.started) < settleTime:
		return urgentGather
	case source:
		return sourceGather
	default:
		return gatherTime
	}
}

func (f *Follower) afterOutage() bool {
	return !f.outageEnd.IsZero() && time.Since(f.outageEnd) < catalog.LapseGrace
}

func (f *Follower) succeeded() {
	now := time.Now()
	if f.failing {
		f.failing = false
		f.Regained(now.Sub(f.answered))
		if now.Sub(f.answered) > outageTime {
			f.outageEnd = now
		}
	}
	f.answered = now
	f.retry = 0
	f.failures = 0
}

// failed notes a call at the service that failed and returns the pause before the
// next.
func (f *Follower) failed(ctx context.Context, err error, source bool) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	f.failing = true
	f.failures++
	f.direct = false
	f.unconfirm()
	f.Lost(err)
	f.Service.Disconnect()
	if source && f.Log != nil {
		f.Log.Fail()
	}

	return f.backoff()
}

// backoff returns the pause before the next call: exponential, with jitter.
func (f *Follower) backoff() time.Duration {
	f.retry = min(max(2*f.retry, retryLeast), retryMost)

	return f.retry/2 + rand.N(f.retry/2)
}
