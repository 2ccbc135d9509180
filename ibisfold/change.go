package main

import (
	"maps"
	"net/netip"
	"reflect"
	"slices"

	"ibisfold.example/core/ticket"
)

// change is an object that differs between two states.
type change[T any] struct {
	name string
	// before and after are nil where the object does not exist.
	before *T
	after  *T
}

// changes returns the objects that differ, sorted by name.
func changes[T any](before, after map[string]ticket.Object[T], equal func(a, b T) bool) []change[T] {
	all := map[string]bool{}
	for n := range before {
		all[n] = true
	}
	for n := range after {
		all[n] = true
	}

	l := []change[T]{}
	for _, n := range slices.Sorted(maps.Keys(all)) {
		c := change[T]{
			name:   n,
			before: existing(before, n),
			after:  existing(after, n),
		}
		same := c.before == nil && c.after == nil ||
			c.before != nil && c.after != nil && equal(*c.before, *c.after)
		if !same {
			l = append(l, c)
		}
	}

	return l
}

// existing returns the object with the given name, or nil if there is none or it was removed.
func existing[T any](m map[string]ticket.Object[T], name string) *T {
	o, ok := m[name]
	if !ok || o.Removed {
		return nil
	}

	return &o.Value
}

func zoneChanges(before, after *ticket.State) []change[ticket.Zone] {
	return changes(before.Zones, after.Zones, func(a, b ticket.Zone) bool {
		return a == b
	})
}

func serviceChanges(before, after *ticket.State) []change[ticket.Service] {
	return changes(before.Services, after.Services, func(a, b ticket.Service) bool {
		return a.Tenant == b.Tenant && a.ServiceTime == b.ServiceTime && slices.Equal(a.Addresses, b.Addresses)
	})
}

func targetChanges(before, after *ticket.State) []change[ticket.Target] {
	return changes(before.Targets, after.Targets, func(a, b ticket.Target) bool {
		a.State = stateOf(a)
		b.State = stateOf(b)

		return reflect.DeepEqual(a, b)
	})
}

// stateOf returns the state of a target with the default filled in.
func stateOf(t ticket.Target) ticket.TargetState {
	if t.State == "" {
		return ticket.InService
	}

	return t.State
}

// sameState reports whether two states hold the same objects.
func sameState(a, b *ticket.State) bool {
	return len(zoneChanges(a, b)) == 0 && len(serviceChanges(a, b)) == 0 && len(targetChanges(a, b)) == 0
}

// subtract returns the addresses of a that are not in b.
func subtract(a, b []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(a), func(x netip.AddrPort) bool {
		return slices.Contains(b, x)
	})
}
