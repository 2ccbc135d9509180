package feed

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// upstreamStandIn answers from scripts of the test; a nil one is silent.
type upstreamStandIn struct {
	list  func() (Batch, error)
	watch func(after uint64, wait time.Duration) (Batch, error)
	calls int
}

func (u *upstreamStandIn) List(ctx context.Context) (Batch, error) {
	u.calls++
	if u.list == nil {
		<-ctx.Done()

		return Batch{}, ErrUnavailable
	}

	return u.list()
}

func (u *upstreamStandIn) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	u.calls++
	if u.watch == nil {
		<-ctx.Done()

		return Batch{}, ErrUnavailable
	}

	return u.watch(after, wait)
}

func (u *upstreamStandIn) Disconnect() {}

// listOf answers a listing with an empty catalog at a revision.
func listOf(revision uint64) func() (Batch, error) {
	return func() (Batch, error) {
		return Batch{
			Revision: revision,
			Complete: true,
		}, nil
	}
}

// watchOf answers a watch that met no news.
func watchOf(revision uint64) func(uint64, time.Duration) (Batch, error) {
	return func(uint64, time.Duration) (Batch, error) {
		return Batch{
			Revision: revision,
		}, nil
	}
}

func fails(uint64, time.Duration) (Batch, error) {
	return Batch{}, ErrUnavailable
}

func newTestFollower(service Upstream) (*Follower, *[]catalog.Change) {
	changes := &[]catalog.Change{}
	f := &Follower{
		Service: service,
		Change: func(c []catalog.Change, _ Confirmation) {
			*changes = append(*changes, c...)
		},
		Confirmed: func(time.Duration) {},
		Called:    func(bool) {},
		Lost:      func(error) {},
		Regained:  func(time.Duration) {},
	}
	f.started = time.Now()
	f.answered = f.started

	return f, changes
}

// Guards against a follower that goes on from a history which the service no
// longer has: what changed in the gap would never be seen.
func TestHistoryGone(t *testing.T) {
	is := is.New(t)
	listed := 0
	f, _ := newTestFollower(&upstreamStandIn{
		list: func() (Batch, error) {
			listed++

			return listOf(5)()
		},
		watch: func(uint64, time.Duration) (Batch, error) {
			return Batch{}, ErrHistory
		},
	})
	for range 3 {
		f.step(context.Background())
	}
	is.Equal(listed, 2)
}

// touchTime is how long after connections fell silent a VM is judged again.
const touchTime = 4 * time.Second

// Guards against a follower that waits on a silent connection for longer than
// the time in which a configuration has to be in force.
func TestSilentWatch(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFollower(&upstreamStandIn{})
	f.revision = 1
	begin := time.Now()
	pause := f.step(context.Background())
	is.True(f.failing)
	is.True(time.Since(begin)+pause < touchTime)
}

// Guards against targets that are dropped because their entries expired while
// the service was out of reach: the listing after it says so.
func TestListingAfterOutage(t *testing.T) {
	is := is.New(t)
	f, changes := newTestFollower(&upstreamStandIn{
		list:  listOf(5),
		watch: fails,
	})
	f.revision = 1
	f.step(context.Background())
	f.answered = time.Now().Add(-2 * outageTime)
	f.step(context.Background())
	is.Equal(*changes, []catalog.Change{
		catalog.Listing{
			AfterOutage: true,
		},
	})
}

// Guards against calls without a pause at a service that refuses them.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFollower(&upstreamStandIn{
		list: func() (Batch, error) {
			return Batch{}, ErrUnavailable
		},
	})
	last := time.Duration(0)
	for range 8 {
		last = f.step(context.Background())
		is.True(last > 0)
	}
	is.True(last >= retryMost/2)
	is.True(last <= retryMost)
}

// Guards against calls at the service that grow with the number of processes:
// one that has a listing follows a source.
func TestSourceIsFollowed(t *testing.T) {
	is := is.New(t)
	service := &upstreamStandIn{
		list: listOf(5),
	}
	source := &upstreamStandIn{
		watch: watchOf(5),
	}
	f, _ := newTestFollower(service)
	f.Follow(false, []Upstream{source})
	for range 10 {
		f.step(context.Background())
	}
	is.Equal(service.calls, 1)
	is.Equal(source.calls, 9)
}

// configTime is the time in which a new configuration has to be in force.
const configTime = 3 * time.Second

// Guards against a configuration that is late because the source that would have
// told it stands still.
func TestSourceStandsStill(t *testing.T) {
	is := is.New(t)
	service := &upstreamStandIn{
		list: listOf(5),
		watch: func(after uint64, _ time.Duration) (Batch, error) {
			is.Equal(after, uint64(5))

			return Batch{
				Revision: 6,
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
	f.Follow(false, []Upstream{&upstreamStandIn{}})
	f.step(context.Background())
	begin := time.Now()
	f.step(context.Background())
	f.step(context.Background())
	is.True(time.Since(begin) < configTime-time.Second)
	is.Equal(len(*changes), 2)
}

// Guards against a source that wakes up, has not heard the service yet, and takes
// a process back to what was in force before.
func TestSourceIsBehind(t *testing.T) {
	is := is.New(t)
	service := &upstreamStandIn{
		list:  listOf(9),
		watch: watchOf(9),
	}
	behind := &upstreamStandIn{
		watch: func(uint64, time.Duration) (Batch, error) {
			return listOf(7)()
		},
	}
	f, changes := newTestFollower(service)
	f.Follow(false, []Upstream{behind})
	for range 3 {
		f.step(context.Background())
	}
	is.Equal(f.revision, uint64(9))
	is.Equal(len(*changes), 1)
	is.Equal(behind.calls, 1)
	is.Equal(service.calls, 2)
}

// Guards against a process that knows nothing while the service is silent, though
// others could tell it. Pattern: single entries start again during an outage.
func TestStartWhileServiceIsSilent(t *testing.T) {
	for _, source := range []bool{false, true} {
		is := is.New(t)
		service := &upstreamStandIn{
			list: func() (Batch, error) {
				return Batch{}, ErrUnavailable
			},
		}
		f, changes := newTestFollower(service)
		f.Log = &Log{}
		f.Follow(source, []Upstream{
			&upstreamStandIn{
				list:  listOf(4),
				watch: fails,
			},
		})
		f.step(context.Background())
		f.step(context.Background())
		is.Equal(len(*changes), 1)
		_, err := f.Log.List()
		is.True(errors.Is(err, ErrUnavailable))

		service.list = listOf(5)
		service.watch = watchOf(5)
		for range 3 {
			f.step(context.Background())
		}
		is.Equal(f.revision, uint64(5))
		_, err = f.Log.Watch(context.Background(), 4, time.Millisecond)
		is.Equal(err == nil, source)
	}
}

// Guards against peers that trust a source which no longer reaches the service.
func TestSourceTellsThatItIsCutOff(t *testing.T) {
	is := is.New(t)
	service := &upstreamStandIn{
		list:  listOf(5),
		watch: fails,
	}
	f, _ := newTestFollower(service)
	f.Log = &Log{}
	f.Follow(true, nil)
	f.step(context.Background())
	_, err := f.Log.Watch(context.Background(), 5, time.Millisecond)
	is.NoErr(err)
	f.step(context.Background())
	_, err = f.Log.Watch(context.Background(), 5, time.Hour)
	is.True(errors.Is(err, ErrUnavailable))
}

// Guards against a source that changes what its peers are reading.
func TestLogKeepsItsBatches(t *testing.T) {
	is := is.New(t)
	service := &upstreamStandIn{
		list: listOf(5),
		watch: func(uint64, time.Duration) (Batch, error) {
			return Batch{
				Revision: 6,
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

// Guards against a follower that gives up every call at a service which has turned
// slow.
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

// slowUpstream takes a time for each listing.
type slowUpstream struct {
	upstreamStandIn
	time time.Duration
}

func (u *slowUpstream) List(ctx context.Context) (Batch, error) {
	select {
	case <-time.After(u.time):
		return listOf(5)()
	case <-ctx.Done():
		return Batch{}, ErrUnavailable
	}
}
