package ticket

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

// Object is the latest write to one object: a value or a tombstone.
type Object[T any] struct {
	Version Version
	// Removed marks a tombstone, whose Value is zero.
	Removed bool
	Value   T
}

// Digest summarizes a state, so that nodes can compare their states. States with
// equal digests are taken to be equal.
type Digest struct {
	// Floor is the number of the highest complete ticket.
	Floor uint64
	// Highest is the highest ticket number that was merged.
	Highest uint64
	// Hash is the XOR of Version.Sum of all held tickets.
	Hash uint64
}

// held is a ticket that a state holds, with its reference count.
type held struct {
	ticket *Ticket
	// references counts the objects and tombstones whose latest write is this
	// ticket.
	references int
}

// State is the result of merging tickets. For each object the write with the
// highest version wins. Merging is commutative, associative and idempotent, so
// nodes converge in whatever order tickets arrive. The zero value is an empty
// state.
type State struct {
	// Floor is the version of the highest complete ticket. Tickets of lower
	// versions are ignored.
	Floor    Version
	Zones    map[string]Object[Zone]
	Services map[string]Object[Service]
	Targets  map[string]Object[Target]

	// held holds the tickets that wrote the current version of at least one
	// object or tombstone, and the floor ticket.
	held    map[Version]*held
	highest uint64
	hash    uint64
}

// Merge merges t into the state and reports whether the state changed. A ticket
// has no effect if it is below the floor, already held, or superseded in all its
// objects.
func (s *State) Merge(t *Ticket) bool {
	s.init()
	if s.isBelowFloor(t.Version) {
		return false
	}
	if s.held[t.Version] != nil {
		return false
	}

	h := &held{
		ticket: t,
	}
	s.addHeld(h)
	mergeObjects(s, h, s.Zones, t.Zones, zoneName)
	mergeObjects(s, h, s.Services, t.Services, serviceName)
	mergeObjects(s, h, s.Targets, t.Targets, targetName)
	for _, r := range t.Removed {
		s.remove(h, r)
	}
	if t.Complete {
		s.raiseFloor(h)
	}
	s.highest = max(s.highest, t.Number)
	s.releaseUnused(h)

	return s.held[t.Version] != nil
}

func (s *State) init() {
	if s.held != nil {
		return
	}

	s.Zones = map[string]Object[Zone]{}
	s.Services = map[string]Object[Service]{}
	s.Targets = map[string]Object[Target]{}
	s.held = map[Version]*held{}
}

// isBelowFloor reports whether a ticket of version v is below the floor.
func (s *State) isBelowFloor(v Version) bool {
	return v.Less(s.Floor)
}

func zoneName(z Zone) string       { return z.Name }
func serviceName(v Service) string { return v.Name }
func targetName(t Target) string   { return t.Name }

func mergeObjects[T any](s *State, h *held, m map[string]Object[T], values []T, name func(T) string) {
	for _, v := range values {
		o := Object[T]{
			Version: h.ticket.Version,
			Value:   v,
		}
		mergeObject(s, h, m, name(v), o)
	}
}

// mergeObject writes o, a write of the ticket h, unless m holds the object in
// the same or a higher version.
func mergeObject[T any](s *State, h *held, m map[string]Object[T], name string, o Object[T]) {
	old, ok := m[name]
	if ok && !old.Version.Less(o.Version) {
		return
	}
	if ok {
		s.dropReference(old.Version)
	}
	m[name] = o
	h.references++
}

func (s *State) remove(h *held, r Removal) {
	switch {
	case r.Zone != "":
		mergeObject(s, h, s.Zones, r.Zone, tombstone[Zone](h))
	case r.Service != "":
		mergeObject(s, h, s.Services, r.Service, tombstone[Service](h))
	case r.Target != "":
		mergeObject(s, h, s.Targets, r.Target, tombstone[Target](h))
	}
}

func tombstone[T any](h *held) Object[T] {
	return Object[T]{
		Version: h.ticket.Version,
		Removed: true,
	}
}

// raiseFloor makes the complete ticket of h the floor, and removes all objects
// and tombstones of lower versions.
func (s *State) raiseFloor(h *held) {
	previous := s.held[s.Floor]
	s.Floor = h.ticket.Version
	if previous != nil {
		s.releaseUnused(previous)
	}
	removeBelowFloor(s, s.Zones)
	removeBelowFloor(s, s.Services)
	removeBelowFloor(s, s.Targets)
}

func removeBelowFloor[T any](s *State, m map[string]Object[T]) {
	for n, o := range m {
		if o.Version.Less(s.Floor) {
			delete(m, n)
			s.dropReference(o.Version)
		}
	}
}

func (s *State) addHeld(h *held) {
	s.held[h.ticket.Version] = h
	s.hash ^= h.ticket.Version.Sum()
}

// dropReference decrements the reference count of the ticket of version v.
func (s *State) dropReference(v Version) {
	h := s.held[v]
	if h == nil {
		return
	}
	h.references--
	s.releaseUnused(h)
}

// releaseUnused stops holding a ticket that has no references and is not the
// floor.
func (s *State) releaseUnused(h *held) {
	v := h.ticket.Version
	if h.references > 0 || v == s.Floor || s.held[v] == nil {
		return
	}
	delete(s.held, v)
	s.hash ^= v.Sum()
}

// Sum returns the 64-bit hash of a version that Digest.Hash combines.
func (v Version) Sum() uint64 {
	var b [16]byte

	binary.BigEndian.PutUint64(b[:], v.Number)
	binary.BigEndian.PutUint64(b[8:], v.Hash)
	h := fnv.New64a()
	h.Write(b[:])

	return h.Sum64()
}

// Digest returns the state's digest.
func (s *State) Digest() Digest {
	return Digest{
		Floor:   s.Floor.Number,
		Highest: s.highest,
		Hash:    s.hash,
	}
}

// Highest returns the highest ticket number that was merged.
func (s *State) Highest() uint64 {
	return s.highest
}

// Versions returns the versions of all held tickets in ascending order.
func (s *State) Versions() []Version {
	return slices.SortedFunc(maps.Keys(s.held), Version.compare)
}

func (v Version) compare(o Version) int {
	switch {
	case v.Less(o):
		return -1
	case o.Less(v):
		return 1
	default:
		return 0
	}
}

// Held returns the held ticket of version v, or nil.
func (s *State) Held(v Version) *Ticket {
	h := s.held[v]
	if h == nil {
		return nil
	}

	return h.ticket
}

// Wants reports whether the node should fetch the ticket of version v: it is
// neither held nor below the floor.
func (s *State) Wants(v Version) bool {
	return s.held[v] == nil && !s.isBelowFloor(v)
}
