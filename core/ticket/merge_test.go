package ticket_test

import (
	"flag"
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"ibisfold.example/core/ticket"
)

// A fixed seed makes runs reproducible. Use -rapid.seed to try other seeds.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// drawTicket generates a ticket from a few names and numbers, so that tickets
// conflict often. Tickets may share a number; their hashes then order them.
func drawTicket(t *rapid.T) *ticket.Ticket {
	v := ticket.Version{
		Number: rapid.Uint64Range(1, 6).Draw(t, "number"),
		Hash:   rapid.Uint64Range(1, 1<<60).Draw(t, "hash"),
	}
	k := &ticket.Ticket{
		Number:   v.Number,
		Version:  v,
		Complete: rapid.IntRange(0, 4).Draw(t, "complete") == 0,
	}
	for i := range 4 {
		name := fmt.Sprint("target-", i)
		switch rapid.IntRange(0, 2).Draw(t, "target") {
		case 0:
			k.Targets = append(k.Targets, ticket.Target{
				Name:  name,
				Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
			})
		case 1:
			k.Removed = append(k.Removed, ticket.Removal{
				Target: name,
			})
		}
	}
	for i := range 2 {
		if rapid.Bool().Draw(t, "zone") {
			k.Zones = append(k.Zones, ticket.Zone{
				Name:      fmt.Sprint("zone-", i),
				InService: rapid.Bool().Draw(t, "in service"),
			})
		}
	}

	return k
}

func merged(list []*ticket.Ticket) *ticket.State {
	s := &ticket.State{}
	for _, t := range list {
		s.Merge(t)
	}

	return s
}

func sameState(a, b *ticket.State) bool {
	return a.Digest() == b.Digest() && a.Floor == b.Floor && maps.Equal(a.Zones, b.Zones) &&
		maps.Equal(a.Targets, b.Targets) && reflect.DeepEqual(a.Versions(), b.Versions())
}

// Guards against nodes that never converge: tickets, including tombstones,
// complete tickets and equal numbers, must give the same state in any order and
// if repeated. The held tickets alone must give that state, too.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfNDistinct(rapid.Custom(drawTicket), 1, 8, func(k *ticket.Ticket) ticket.Version {
			return k.Version
		}).Draw(t, "tickets")
		want := merged(list)
		other := rapid.Permutation(append(list, list[:rapid.IntRange(0, len(list)).Draw(t, "repeated")]...)).Draw(t, "order")
		if got := merged(other); !sameState(want, got) {
			t.Fatalf("states differ: %+v and %+v", want.Digest(), got.Digest())
		}
		held := &ticket.State{}
		for _, v := range want.Versions() {
			held.Merge(want.Held(v))
		}
		if !sameState(want, held) {
			t.Fatalf("held tickets give another state: %+v and %+v", want.Digest(), held.Digest())
		}
	})
}

// Guards against a state that goes back: the versions of objects and the floor
// never decrease, and no object stays below the floor.
func TestMergeNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &ticket.State{}
		for _, k := range rapid.SliceOfN(rapid.Custom(drawTicket), 1, 10).Draw(t, "tickets") {
			before := maps.Clone(s.Targets)
			floor := s.Floor
			s.Merge(k)
			if s.Floor.Less(floor) {
				t.Fatal("floor went down")
			}
			for name, o := range s.Targets {
				if o.Version.Less(before[name].Version) || o.Version.Less(s.Floor) {
					t.Fatalf("%s went back to %v", name, o.Version)
				}
			}
		}
	})
}
