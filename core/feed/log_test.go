package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
)

func targetChange(id string) catalog.Change {
	return catalog.TargetChange{
		Target: catalog.Target{
			ID:       id,
			Service:  3,
			Address:  netip.MustParseAddrPort("10.0.0.1:80"),
			Zone:     "a",
			Slots:    2,
			ColdLeft: time.Second,
		},
	}
}

// Guards against a source that reports less than it saw, or something else: whatever a follower
// knew before, it ends up with the targets of the source.
func TestFollowersConverge(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		l := &Log{}
		l.Add(Batch{
			Position: at(1),
			Complete: true,
		})
		server := httptest.NewServer((&Server{
			Log: l,
		}).Handler())
		client := NewSourceClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), failOnInvalid(t))
		state := catalog.State{}
		want := map[string]bool{}
		seen := uint64(0)
		for revision := uint64(2); revision < 2+3*maxHistoryBatches; revision++ {
			id := fmt.Sprint(random.IntN(6))
			if random.IntN(2) == 0 {
				want[id] = true
				l.Add(Batch{
					Position: at(revision),
					Changes:  []catalog.Change{targetChange(id)},
				})
			} else {
				delete(want, id)
				l.Add(Batch{
					Position: at(revision),
					Changes: []catalog.Change{
						catalog.TargetGone{
							ID: id,
						},
					},
				})
			}
			if random.IntN(40) == 0 {
				seen = catchUp(t, client, &state, seen)
			}
		}
		catchUp(t, client, &state, seen)
		state.Apply(0, catalog.ConfigChange{
			Config: &catalog.Config{
				Version: 1,
			},
		})
		// The last target of a service has a grace period.
		state.Expire(catalog.LapseGrace)
		got := map[string]bool{}
		for _, m := range state.Snapshot().Groups[3] {
			got[m.ID] = true
		}
		// All targets have the same address, so a snapshot has only the last one.
		is.Equal(len(got) > 0, len(want) > 0)
		for id := range got {
			is.True(want[id])
		}
		server.Close()
	}
}

func catchUp(t *testing.T, client *SourceClient, s *catalog.State, after uint64) uint64 {
	t.Helper()
	b, err := client.Watch(context.Background(), at(after), time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if b.Complete {
		s.Apply(0, catalog.Listing{
			Changes: b.Changes,
		})
	} else {
		for _, c := range b.Changes {
			s.Apply(0, c)
		}
	}

	return b.Position.Revision
}

// Guards against a change that is lost or altered by encoding and decoding.
func TestBatchBody(t *testing.T) {
	is := is.New(t)
	b := Batch{
		Position:    at(7),
		Complete:    true,
		AfterOutage: true,
		MaxAge:      time.Second,
		Changes: []catalog.Change{
			catalog.ConfigChange{
				Config: &catalog.Config{
					Version:    9,
					Written:    inEra(2, 6),
					EraCertain: true,
					IdleTime:   15 * time.Second,
					Routes: map[netip.AddrPort]catalog.Route{
						netip.MustParseAddrPort("198.18.0.1:443"): {
							Name:    "r",
							Address: netip.MustParseAddrPort("198.18.0.1:443"),
							Splits: []catalog.Split{
								{
									Service: 1 << 63,
									Weight:  10,
								},
							},
						},
					},
					Services: map[uint64]catalog.Service{
						1 << 63: {
							Name:     "s",
							ColdRate: 1.5,
						},
					},
				},
			},
			targetChange("i-1"),
			catalog.TargetGone{
				ID:          "i-2",
				AfterOutage: true,
			},
			catalog.ZoneChange{
				Zone: "a",
				Out:  true,
			},
		},
	}
	p, err := encodeBatch(b)
	is.NoErr(err)
	got, err := decodeBatch(p, failOnInvalid(t))
	is.NoErr(err)
	is.Equal(got, b)
}

// Guards against a watch that waits for its full time although there are changes, and against
// a follower that gives a cold target its full warm-up time again.
func TestChangesWakeFollowers(t *testing.T) {
	is := is.New(t)
	l := &Log{}
	l.Add(Batch{
		Position: at(1),
		Complete: true,
		Changes:  []catalog.Change{targetChange("i-1")},
	})
	go func() {
		time.Sleep(20 * time.Millisecond)
		l.Add(Batch{
			Position: at(2),
			Changes:  []catalog.Change{targetChange("i-2")},
		})
	}()
	b, err := l.Watch(context.Background(), at(1), time.Minute)
	is.NoErr(err)
	is.Equal(b.Position, at(2))
	is.Equal(len(b.Changes), 1)

	all, err := l.List()
	is.NoErr(err)
	is.True(all.Changes[0].(catalog.TargetChange).Target.ColdLeft < time.Second)
}

// FuzzDecodeBatch guards against an answer that crashes the process.
func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`{"Revision":1,"Changes":[{"Gone":{"ID":"x"}}]}`))
	f.Add([]byte(`{"Changes":[{}]}`))
	f.Add([]byte(`{"Current":true,"Departed":[{"Target":{"ID":"x","Address":"10.0.0.1:80"},"Age":5}]}`))
	f.Add([]byte(`{"Departed":[{"Target":{"ID":"x","Address":"10.0.0.1:0"},"Age":-5}]}`))
	f.Fuzz(func(_ *testing.T, p []byte) {
		_, _ = decodeBatch(p, func(error) {})
	})
}
