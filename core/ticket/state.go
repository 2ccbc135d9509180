package ticket

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

// Object is one object's latest write: a value or a tombstone.
type Object[T any] struct {
	Version Version
	// Removed marks a tombstone; Value is then zero.
	Removed bool
	Value   T
}

// Digest identifies a state. Equal digests mean equal states.
type Digest struct {
	// Floor is the number of the highest complete ticket.
	Floor uint64
	// Highest is the highest ticket number that was merged.
	Highest uint64
	// Hash is the XOR of the hashes of all held tickets' versions.
	Hash uint64
}

type held struct {
	ticket *Ticket
	// live counts the objects and tombstones whose latest write is this ticket.
	live int
}

// State is the join of all merged tickets. Merging is commutative, associative
// and idempotent, so nodes converge whatever the order of arrival. The zero
// value is an empty state.
type State struct {
	// Floor is the version of the highest complete ticket; lower numbers are ignored.
	Floor    Version
	Zones    map[string]Object[Zone]
	Services map[string]Object[Service]
	Targets  map[string]Object[Target]

	// held has the tickets that own at least one object, and the floor ticket.
	held    map[Version]*held
	highest uint64
	hash    uint64
}

// Merge applies t and reports whether the state changed.
func (s *State) Merge(t *Ticket) bool {
	s.init()
	if s.ignores(t.Version) {
		return false
	}
	if s.held[t.Version] != nil {
		return false
	}

	h := &held{
		ticket: t,
	}
	s.hold(h)
	mergeAll(s, h, s.Zones, t.Zones, zoneName)
	mergeAll(s, h, s.Services, t.Services, serviceName)
	mergeAll(s, h, s.Targets, t.Targets, targetName)
	for _, r := range t.Removed {
		s.remove(h, r)
	}
	if t.Complete {
		s.raiseFloor(h)
	}
	s.highest = max(s.highest, t.Number)
	s.release(h)

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

// ignores reports whether a ticket of version v is below the floor.
func (s *State) ignores(v Version) bool {
	return v.Less(s.Floor)
}

func zoneName(z Zone) string       { return z.Name }
func serviceName(v Service) string { return v.Name }
func targetName(t Target) string   { return t.Name }

func mergeAll[T any](s *State, h *held, m map[string]Object[T], values []T, name func(T) string) {
	for _, v := range values {
		o := Object[T]{
			Version: h.ticket.Version,
			Value:   v,
		}
		mergeOne(s, h, m, name(v), o)
	}
}

func mergeOne[T any](s *State, h *held, m map[string]Object[T], name string, o Object[T]) {
	old, ok := m[name]
	if ok && !old.Version.Less(o.Version) {
		return
	}
	if ok {
		s.drop(old.Version)
	}
	m[name] = o
	h.live++
}

func (s *State) remove(h *held, r Removal) {
	switch {
	case r.Zone != "":
		mergeOne(s, h, s.Zones, r.Zone, tombstone[Zone](h))
	case r.Service != "":
		mergeOne(s, h, s.Services, r.Service, tombstone[Service](h))
	case r.Target != "":
		mergeOne(s, h, s.Targets, r.Target, tombstone[Target](h))
	}
}

func tombstone[T any](h *held) Object[T] {
	return Object[T]{
		Version: h.ticket.Version,
		Removed: true,
	}
}

// raiseFloor removes everything older than the complete ticket of h.
func (s *State) raiseFloor(h *held) {
	previous := s.held[s.Floor]
	s.Floor = h.ticket.Version
	if previous != nil {
		s.release(previous)
	}
	sweep(s, s.Zones)
	sweep(s, s.Services)
	sweep(s, s.Targets)
}

func sweep[T any](s *State, m map[string]Object[T]) {
	for n, o := range m {
		if o.Version.Less(s.Floor) {
			delete(m, n)
			s.drop(o.Version)
		}
	}
}

func (s *State) hold(h *held) {
	s.held[h.ticket.Version] = h
	s.hash ^= h.ticket.Version.Sum()
}

// drop counts one object less for the ticket of version v.
func (s *State) drop(v Version) {
	h := s.held[v]
	if h == nil {
		return
	}
	h.live--
	s.release(h)
}

// release forgets a ticket that owns nothing and is not the floor.
func (s *State) release(h *held) {
	v := h.ticket.Version
	if h.live > 0 || v == s.Floor || s.held[v] == nil {
		return
	}
	delete(s.held, v)
	s.hash ^= v.Sum()
}

// Sum returns the hash of the version that Digest.Hash is made of.
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

// Wants reports whether a ticket of version v is not held and not below the floor.
func (s *State) Wants(v Version) bool {
	return s.held[v] == nil && !s.ignores(v)
}
