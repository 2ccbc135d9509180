package feed

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

// inEra returns a position.
func inEra(era, revision uint64) Position {
	return Position{
		Era:      era,
		Revision: revision,
	}
}

// listingAt returns a complete batch at a position.
func listingAt(p Position, changes ...catalog.Change) Batch {
	return Batch{
		Position: p,
		Complete: true,
		Changes:  changes,
	}
}

func zoneChange(out bool) catalog.Change {
	return catalog.ZoneChange{
		Zone: "a",
		Out:  out,
	}
}

// Guards against a source that answers with no changes, or with a part of them, after the
// service came back from an older copy and gives out lower revisions.
func TestLogAfterRestore(t *testing.T) {
	is := is.New(t)
	l := &Log{}
	l.Add(listingAt(inEra(1, 100)))
	l.Add(listingAt(inEra(2, 80)))
	l.Add(Batch{
		Position: inEra(2, 81),
		Changes:  []catalog.Change{zoneChange(true)},
	})
	for _, after := range []Position{inEra(1, 100), inEra(1, 81), inEra(1, 5)} {
		b, err := l.Watch(context.Background(), after, time.Millisecond)
		is.NoErr(err)
		is.True(b.Complete)
		is.Equal(b.Position, inEra(2, 81))
		is.Equal(b.Changes, []catalog.Change{zoneChange(true)})
	}
	b, err := l.Watch(context.Background(), inEra(2, 80), time.Millisecond)
	is.NoErr(err)
	is.True(!b.Complete)
	is.Equal(len(b.Changes), 1)
	_, err = l.Watch(context.Background(), inEra(3, 2), time.Millisecond)
	is.True(errors.Is(err, ErrUnavailable))
}

// Guards against a Log that takes changes of another era, or from before its position, for a
// continuation of its history.
func TestLogIgnoresWhatDoesNotContinue(t *testing.T) {
	is := is.New(t)
	l := &Log{}
	l.Add(listingAt(inEra(2, 80)))
	for _, p := range []Position{inEra(1, 90), inEra(3, 81), inEra(2, 79)} {
		l.Add(Batch{
			Position: p,
			Changes:  []catalog.Change{zoneChange(true)},
		})
	}
	b, err := l.List()
	is.NoErr(err)
	is.Equal(b.Position, inEra(2, 80))
	is.Equal(len(b.Changes), 0)
}

// Guards against a source that passes the older configuration of the copy on to processes that
// start after the return.
func TestLogKeepsNewestConfig(t *testing.T) {
	is := is.New(t)
	config := func(v uint64) catalog.Change {
		return catalog.ConfigChange{
			Config: &catalog.Config{
				Version: v,
			},
		}
	}
	l := &Log{}
	l.Add(listingAt(inEra(1, 100), config(9)))
	l.Add(listingAt(inEra(2, 80), config(7)))
	b, err := l.List()
	is.NoErr(err)
	is.Equal(b.Changes, []catalog.Change{config(9)})
}

// Guards against a source that lists another configuration than the one that it passed on as a
// change, because it orders them by the number alone.
func TestLogTakesLaterWrite(t *testing.T) {
	is := is.New(t)
	config := func(revision, version uint64) catalog.Change {
		return catalog.ConfigChange{
			Config: &catalog.Config{
				Version: version,
				Written: inEra(1, revision),
			},
		}
	}
	l := &Log{}
	l.Add(listingAt(inEra(1, 100), config(90, 9)))
	l.Add(Batch{
		Position: inEra(1, 101),
		Changes:  []catalog.Change{config(101, 7)},
	})
	b, err := l.List()
	is.NoErr(err)
	is.Equal(b.Changes, []catalog.Change{config(101, 7)})
}

// Guards against a follower that a source reverts to an earlier era, whose revisions are
// higher, and against one that never gets to the later era of its source.
func TestErasOfSources(t *testing.T) {
	is := is.New(t)
	answer := listingAt(inEra(3, 5))
	source := &fakeUpstream{
		watch: func(Position, time.Duration) (Batch, error) {
			return answer, nil
		},
	}
	f, changes := newTestFollower(&fakeUpstream{})
	restores := []Restore{}
	f.Restored = func(r Restore) {
		restores = append(restores, r)
	}
	f.Follow(false, []Upstream{source})
	f.position = inEra(2, 80)
	f.listed = true
	f.step(context.Background())
	is.Equal(f.position, inEra(3, 5))
	is.Equal(*changes, []catalog.Change{
		catalog.Listing{
			AfterOutage: true,
			Restored:    true,
		},
	})
	is.Equal(restores, []Restore{
		{
			From: inEra(2, 80),
			To:   inEra(3, 5),
		},
	})

	answer = listingAt(inEra(2, 100))
	f.step(context.Background())
	is.Equal(f.position, inEra(3, 5))
	is.Equal(len(*changes), 1)
	is.True(f.serviceNext)
}

// Guards against a late answer of the service, or one without an era, that reverts a process
// to an earlier era.
func TestEarlierEraOfService(t *testing.T) {
	for _, era := range []uint64{0, 1} {
		is := is.New(t)
		f, changes := newTestFollower(&fakeUpstream{
			list: func() (Batch, error) {
				return listingAt(inEra(era, 100)), nil
			},
		})
		failure := error(nil)
		f.Failed = func(err error) {
			failure = err
		}
		f.position = inEra(2, 80)
		f.step(context.Background())
		is.True(errors.Is(failure, ErrOutdated))
		is.Equal(f.position, inEra(2, 80))
		is.Equal(len(*changes), 0)
	}
}

// Guards against a process that becomes a source, or starts as one, while the service does not
// answer, and that another source which is behind reverts.
func TestBootstrapDoesNotRevert(t *testing.T) {
	for _, behind := range []Position{inEra(2, 79), inEra(1, 100)} {
		is := is.New(t)
		service := &fakeUpstream{
			list: func() (Batch, error) {
				return Batch{}, ErrUnavailable
			},
		}
		f, changes := newTestFollower(service)
		f.Log = &Log{}
		f.position = inEra(2, 80)
		f.Follow(true, []Upstream{
			&fakeUpstream{
				list: func() (Batch, error) {
					return listingAt(behind), nil
				},
				watch: failingWatch,
			},
		})
		for range 3 {
			f.step(context.Background())
		}
		is.Equal(f.position, inEra(2, 80))
		is.Equal(len(*changes), 0)
	}
}

// Guards against a process that starts after the service came back from an older copy and uses
// the older configuration, although the sources know the newer one.
func TestNewestConfigIsLearned(t *testing.T) {
	is := is.New(t)
	config := catalog.ConfigChange{
		Config: &catalog.Config{
			Version: 9,
		},
	}
	f, changes := newTestFollower(&fakeUpstream{})
	f.Follow(false, []Upstream{
		&fakeUpstream{
			list: func() (Batch, error) {
				return listingAt(inEra(1, 100), config), nil
			},
		},
	})
	f.learn(context.Background())
	is.Equal(*changes, []catalog.Change{config})
}

// Guards against a follower that takes the answer to a watch for a continuation although the
// service came back from an older copy, because the revisions have passed the known one: it
// would miss what was given out anew in between, and confirm its list.
func TestWatchAcrossRestore(t *testing.T) {
	for _, p := range []Position{inEra(2, 112), inEra(2, 120), inEra(2, 90), inEra(1, 90)} {
		is := is.New(t)
		service := &fakeUpstream{
			watch: func(Position, time.Duration) (Batch, error) {
				return Batch{
					Position: p,
				}, nil
			},
			list: func() (Batch, error) {
				return listingAt(p, zoneChange(true)), nil
			},
		}
		f, changes := newTestFollower(service)
		f.Log = &Log{}
		f.Follow(true, nil)
		f.Log.Add(listingAt(inEra(1, 112)))
		f.position = inEra(1, 112)
		f.listed = true
		f.relist = false
		confirmed := countConfirmations(f)
		f.step(context.Background())
		is.Equal(*confirmed, confirmations{})
		f.Change = func(c []catalog.Change, _ Confirmation) {
			*changes = append(*changes, c...)
		}
		f.step(context.Background())
		is.Equal(service.calls, 2)
		is.Equal(f.position, p)
		is.Equal(f.Log.Position(), p)
		is.Equal(len(*changes), 1)
		is.True((*changes)[0].(catalog.Listing).Restored)
	}
}
