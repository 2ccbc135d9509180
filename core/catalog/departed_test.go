package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func departedIDs(s *State) []string {
	list := []string{}
	for _, m := range s.Snapshot().Departed {
		list = append(list, m.ID)
	}

	return list
}

func draining(c TargetChange) TargetChange {
	c.Target.Draining = true

	return c
}

// Guards against resets of the flows of a target that may still be alive, although its entry
// expired, was removed while the target was draining, became invalid, or now has another
// address.
func TestDepartedTargetsAreKept(t *testing.T) {
	a := target("a", "10.0.0.1:80", 1)
	b := target("b", "10.0.0.2:80", 1)
	tests := map[string]struct {
		before []Change
		after  Change
	}{
		"removed": {
			before: []Change{a, b},
			after: TargetGone{
				ID: "a",
			},
		},
		"removed while draining": {
			before: []Change{draining(a), b},
			after: TargetGone{
				ID:          "a",
				AfterOutage: true,
			},
		},
		"missing in a listing": {
			before: []Change{a, b},
			after:  listing(b),
		},
		"returned at another address": {
			before: []Change{a, b},
			after:  target("a", "10.0.0.3:80", 1),
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState(c.before...)
			is.Equal(departedIDs(s), []string{})
			is.True(s.Apply(time.Second, c.after))
			is.Equal(departedIDs(s), []string{"a"})
			is.Equal(s.Snapshot().Departed[0].Address, a.Target.Address)
			for _, m := range s.Snapshot().Groups[a.Target.Service] {
				is.True(m.Address != a.Target.Address)
			}
		})
	}
}

// Guards against a target that is still treated as departed after it returned, and against
// a departed one that hides the target which now has its address.
func TestDepartedTargetReturns(t *testing.T) {
	is := is.New(t)
	s := newState(target("a", "10.0.0.1:80", 1), target("b", "10.0.0.2:80", 1))
	s.Apply(0, listing())
	s.Expire(LapseGrace)
	is.Equal(departedIDs(s), []string{"a", "b"})
	s.Apply(LapseGrace, target("a", "10.0.0.1:80", 1))
	s.Apply(LapseGrace, target("c", "10.0.0.2:80", 2))
	is.Equal(departedIDs(s), []string{})
	is.Equal(currentIDs(s), []string{"a", "c"})
	// The new target at the address of b leaves too: a snapshot has only one of them.
	s.Apply(LapseGrace, TargetGone{
		ID: "c",
	})
	is.Equal(departedIDs(s), []string{"c"})
}

// Guards against departed targets that are kept for longer than they may hold flows, so that
// waiting for their agents delays resets, and against ones that are dropped too early.
func TestDepartedTargetsExpire(t *testing.T) {
	is := is.New(t)
	s := newState(target("a", "10.0.0.1:80", 1), target("b", "10.0.0.2:80", 1))
	s.Apply(time.Second, TargetGone{
		ID: "a",
	})
	is.True(!s.Expire(time.Second + DefaultMaxAge - 1))
	is.Equal(departedIDs(s), []string{"a"})
	is.True(s.Expire(time.Second + DefaultMaxAge))
	is.Equal(departedIDs(s), []string{})

	short := &State{
		MaxAge: 5 * time.Second,
	}
	short.Apply(0, ConfigChange{
		Config: &Config{
			Version: 1,
		},
	})
	short.Apply(0, listing(target("a", "10.0.0.1:80", 1), target("b", "10.0.0.2:80", 1)))
	short.Apply(0, TargetGone{
		ID: "a",
	})
	is.True(short.Expire(5 * time.Second))
	is.Equal(departedIDs(short), []string{})
}

// Guards against a listed target that is taken out of use because another process reports
// it as departed, and against a departed target that is ignored because this process never
// listed it.
func TestDepartedReportedByAnotherProcess(t *testing.T) {
	is := is.New(t)
	s := newState(target("a", "10.0.0.1:80", 1))
	is.True(!s.Apply(0, TargetDeparted{
		Target: target("a", "10.0.0.1:80", 1).Target,
	}))
	reported := TargetDeparted{
		Target: target("z", "10.0.0.9:80", 1).Target,
		Age:    20 * time.Second,
	}
	is.True(s.Apply(time.Second, reported))
	is.Equal(currentIDs(s), []string{"a"})
	is.Equal(departedIDs(s), []string{"z"})
	is.True(!s.Expire(time.Second + DefaultMaxAge - reported.Age - 1))
	is.True(s.Expire(time.Second + DefaultMaxAge - reported.Age))
}

// Guards against two processes that keep a departed target for ever by reporting it to each
// other: the reported age lacks the duration of the call, so each report makes the target
// look younger.
func TestDepartedAgesDoNotDecrease(t *testing.T) {
	is := is.New(t)
	a, b := Departures{}, Departures{}
	a.Add(0, TargetDeparted{
		Target: target("a", "10.0.0.1:80", 1).Target,
	})
	const call = 500 * time.Millisecond
	now := time.Duration(0)
	for now < 2*DefaultMaxAge {
		for _, d := range a.List(now) {
			b.Add(now+call, d)
		}
		now += call
		for _, d := range b.List(now) {
			a.Add(now+call, d)
		}
		now += call
		a.Expire(now)
		b.Expire(now)
	}
	is.Equal(len(a.List(now)), 0)
	is.Equal(len(b.List(now)), 0)
}

// Guards against unbounded memory for departed targets that other processes report, and
// against ages that no process can have measured.
func TestDepartedTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	d := Departures{}
	for i := range MaxDeparted + 10 {
		d.Add(time.Duration(i), TargetDeparted{
			Target: target(fmt.Sprintf("i-%05d", i), "10.0.0.1:80", 1).Target,
		})
	}
	list := d.List(MaxDeparted)
	is.Equal(len(list), MaxDeparted)
	is.Equal(list[0].Target.ID, "i-00010")
	for _, age := range []time.Duration{-1, DefaultMaxAge, 1<<63 - 1} {
		is.True(!d.Add(0, TargetDeparted{
			Target: target("x", "10.0.0.2:80", 1).Target,
			Age:    age,
		}))
	}
}
