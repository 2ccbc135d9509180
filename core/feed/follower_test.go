package feed

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// fakeUpstream answers with the functions of the test; without one it does not answer.
type fakeUpstream struct {
	list  func() (Batch, error)
	watch func(after Position, wait time.Duration) (Batch, error)
	calls int
}

func (u *fakeUpstream) List(ctx context.Context) (Batch, error) {
	u.calls++
	if u.list == nil {
		<-ctx.Done()

		return Batch{}, ErrUnavailable
	}

	return u.list()
}

func (u *fakeUpstream) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	u.calls++
	if u.watch == nil {
		<-ctx.Done()

		return Batch{}, ErrUnavailable
	}

	return u.watch(after, wait)
}

func (u *fakeUpstream) Disconnect() {}

// at returns a position in the first era.
func at(revision uint64) Position {
	return Position{
		Revision: revision,
	}
}

// emptyListing answers a listing with an empty catalog at a revision.
func emptyListing(revision uint64) func() (Batch, error) {
	return func() (Batch, error) {
		return Batch{
			Position: at(revision),
			Complete: true,
		}, nil
	}
}

// emptyWatch answers a watch without changes.
func emptyWatch(revision uint64) func(Position, time.Duration) (Batch, error) {
	return func(Position, time.Duration) (Batch, error) {
		return Batch{
			Position: at(revision),
		}, nil
	}
}

func failingWatch(Position, time.Duration) (Batch, error) {
	return Batch{}, ErrUnavailable
}

func newTestFollower(service Upstream) (*Follower, *[]catalog.Change) {
	changes := &[]catalog.Change{}
	f := &Follower{
		Service: service,
		Change: func(c []catalog.Change, _ Confirmation) {
			*changes = append(*changes, c...)
		},
		Confirmed: func(Confirmation) {},
		Called:    func(bool) {},
		Failed:    func(error) {},
		Recovered: func(time.Duration) {},
		Restored:  func(Restore) {},
	}
	f.started = time.Now()
	f.lastAnswer = f.started

	return f, changes
}

// Guards against a follower that continues from a history which the service no longer has: it
// would miss the changes in between.
func TestHistoryGone(t *testing.T) {
	is := is.New(t)
	listed := 0
	f, _ := newTestFollower(&fakeUpstream{
		list: func() (Batch, error) {
			listed++

			return emptyListing(5)()
		},
		watch: func(Position, time.Duration) (Batch, error) {
			return Batch{}, ErrHistoryGone
		},
	})
	for range 3 {
		f.step(context.Background())
	}
	is.Equal(listed, 2)
}

// maxRecoveryTime is the time after its connections went silent within which a VM has to work
// again.
const maxRecoveryTime = 4 * time.Second

// Guards against a follower that waits on a silent connection for so long that the VM gets no
// new configuration within maxRecoveryTime.
func TestSilentWatch(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFollower(&fakeUpstream{})
	f.position = at(1)
	f.listed = true
	begin := time.Now()
	pause := f.step(context.Background())
	is.True(f.failing)
	is.True(time.Since(begin)+pause < maxRecoveryTime)
}

// Guards against targets that are dropped because their entries expired during an outage of the
// service: the listing after it has to be marked.
func TestListingAfterOutage(t *testing.T) {
	is := is.New(t)
	f, changes := newTestFollower(&fakeUpstream{
		list:  emptyListing(5),
		watch: failingWatch,
	})
	f.position = at(1)
	f.listed = true
	f.step(context.Background())
	f.lastAnswer = time.Now().Add(-2 * minOutageTime)
	f.step(context.Background())
	is.Equal(*changes, []catalog.Change{
		catalog.Listing{
			AfterOutage: true,
		},
	})
}

// Guards against calls without a pause to a service that rejects them.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFollower(&fakeUpstream{
		list: func() (Batch, error) {
			return Batch{}, ErrUnavailable
		},
	})
	last := time.Duration(0)
	for range 8 {
		last = f.step(context.Background())
		is.True(last > 0)
	}
	is.True(last >= maxRetryDelay/2)
	is.True(last <= maxRetryDelay)
}

// Guards against a load on the service that grows with the number of processes: one that has a
// listing follows a source.
func TestSourceIsFollowed(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list: emptyListing(5),
	}
	source := &fakeUpstream{
		watch: emptyWatch(5),
	}
	f, _ := newTestFollower(service)
	f.Follow(false, []Upstream{source})
	for range 10 {
		f.step(context.Background())
	}
	is.Equal(service.calls, 1)
	is.Equal(source.calls, 9)
}

// maxConfigDelay is the time within which a new configuration has to be in force.
const maxConfigDelay = 3 * time.Second

// Guards against a configuration that is late because the followed source is frozen.
func TestFrozenSource(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list: emptyListing(5),
		watch: func(after Position, _ time.Duration) (Batch, error) {
			is.Equal(after, at(5))

			return Batch{
				Position: at(6),
				Changes: []catalog.Change{
					catalog.ZoneChange{
						Zone: "a",
						Out:  true,
					},
				},
			}, nil
		},
	}
	f, changes := newTestFollower(service)
	f.Follow(false, []Upstream{&fakeUpstream{}})
	f.step(context.Background())
	begin := time.Now()
	f.step(context.Background())
	f.step(context.Background())
	is.True(time.Since(begin) < maxConfigDelay-time.Second)
	is.Equal(len(*changes), 2)
}

// Guards against a source that has been paused or restarted, has not yet heard from the service,
// and reverts a follower to an older revision.
func TestSourceBehindFollower(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list:  emptyListing(9),
		watch: emptyWatch(9),
	}
	behind := &fakeUpstream{
		watch: func(Position, time.Duration) (Batch, error) {
			return emptyListing(7)()
		},
	}
	f, changes := newTestFollower(service)
	f.Follow(false, []Upstream{behind})
	for range 3 {
		f.step(context.Background())
	}
	is.Equal(f.position, at(9))
	is.Equal(len(*changes), 1)
	is.Equal(behind.calls, 1)
	is.Equal(service.calls, 2)
}

// Guards against a process that starts during an outage of the service, as a single restarted
// entry may, and gets no catalog although other sources have one.
func TestStartWhileServiceIsDown(t *testing.T) {
	for _, isSource := range []bool{false, true} {
		is := is.New(t)
		service := &fakeUpstream{
			list: func() (Batch, error) {
				return Batch{}, ErrUnavailable
			},
		}
		f, changes := newTestFollower(service)
		f.Log = &Log{}
		f.Follow(isSource, []Upstream{
			&fakeUpstream{
				list:  emptyListing(4),
				watch: failingWatch,
			},
		})
		f.step(context.Background())
		f.step(context.Background())
		is.Equal(len(*changes), 1)
		_, err := f.Log.List()
		is.True(errors.Is(err, ErrUnavailable))

		service.list = emptyListing(5)
		service.watch = emptyWatch(5)
		for range 3 {
			f.step(context.Background())
		}
		is.Equal(f.position, at(5))
		_, err = f.Log.Watch(context.Background(), at(4), time.Millisecond)
		is.Equal(err == nil, isSource)
	}
}

// Guards against followers that trust a source which no longer reaches the service.
func TestCutOffSourceRejectsWatches(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list:  emptyListing(5),
		watch: failingWatch,
	}
	f, _ := newTestFollower(service)
	f.Log = &Log{}
	f.Follow(true, nil)
	f.step(context.Background())
	_, err := f.Log.Watch(context.Background(), at(5), time.Millisecond)
	is.NoErr(err)
	f.step(context.Background())
	_, err = f.Log.Watch(context.Background(), at(5), time.Hour)
	is.True(errors.Is(err, ErrUnavailable))
}

// Guards against a follower that modifies the batches of its Log, which others may be reading.
func TestFollowerDoesNotModifyLog(t *testing.T) {
	is := is.New(t)
	service := &fakeUpstream{
		list: emptyListing(5),
		watch: func(Position, time.Duration) (Batch, error) {
			return Batch{
				Position: at(6),
				Changes: []catalog.Change{
					catalog.TargetGone{
						ID: "i-1",
					},
				},
			}, nil
		},
	}
	f, changes := newTestFollower(service)
	f.Log = &Log{}
	f.Follow(true, nil)
	f.step(context.Background())
	f.outageEnd = time.Now()
	f.step(context.Background())
	is.True((*changes)[1].(catalog.TargetGone).AfterOutage)
	is.True(!f.Log.history[0].Changes[0].(catalog.TargetGone).AfterOutage)
}

// Guards against a follower that abandons every call to a service which has become slow.
func TestSlowService(t *testing.T) {
	is := is.New(t)
	service := &slowUpstream{
		time: 1200 * time.Millisecond,
	}
	f, changes := newTestFollower(service)
	for range 4 {
		f.step(context.Background())
	}
	is.True(len(*changes) > 0)
}

// slowUpstream answers each listing after a fixed time.
type slowUpstream struct {
	fakeUpstream
	time time.Duration
}

func (u *slowUpstream) List(ctx context.Context) (Batch, error) {
	select {
	case <-time.After(u.time):
		return emptyListing(5)()
	case <-ctx.Done():
		return Batch{}, ErrUnavailable
	}
}
