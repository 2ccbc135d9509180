// Package config stands in for the configuration service: the part of the
// Consul HTTP API that ibisfold reads, with faults that a test or a demo sets.
package config

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// Prefix comes before the name of each ticket in its key.
	Prefix = "ibisfold/tickets/"
	// CallsPerSecond is the rate that the service bears over all readers.
	CallsPerSecond = 2000
	// MaxBytes is the largest value.
	MaxBytes = 1_000_000
)

// Sentinel errors of this package.
const (
	ErrTooLong  = errors.ConstError("value is longer than 1 MB")
	ErrNotFound = errors.ConstError("no such key")
	ErrNoOlder  = errors.ConstError("key has no older value")
)

type value struct {
	text []byte
	// modified is the store's index at the last change of the value.
	modified uint64
}

type contents struct {
	index uint64
	keys  map[string]value
}

// Store holds the keys and the faults in force. The zero value is empty.
type Store struct {
	mu      sync.Mutex
	live    contents
	older   map[string][]value
	changed chan struct{}
	// resets counts the times that the index went backwards.
	resets int

	down  bool
	stale *contents
	rate  bucket
	calls int
}

// bucket limits the rate of calls.
type bucket struct {
	tokens float64
	last   time.Time
}

func (b *bucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = CallsPerSecond
	}
	b.tokens = min(CallsPerSecond, b.tokens+now.Sub(b.last).Seconds()*CallsPerSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}

// LoadDir publishes each *.yaml file of a directory under its name.
func (s *Store) LoadDir(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return errors.Trace(err)
	}
	slices.Sort(files)

	for _, f := range files {
		if err := s.PublishFile(f); err != nil {
			return err
		}
	}

	return nil
}

// PublishFile publishes one ticket file under its name.
func (s *Store) PublishFile(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}

	return s.Publish(KeyOf(path), b)
}

// KeyOf returns the key of a ticket file.
func KeyOf(path string) string {
	return Prefix + strings.TrimSuffix(filepath.Base(path), ".yaml")
}

// Publish writes a value. Error: ErrTooLong.
func (s *Store) Publish(key string, text []byte) error {
	if len(text) > MaxBytes {
		return ErrTooLong
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	s.put(key, text)

	return nil
}

func (s *Store) put(key string, text []byte) {
	if s.live.keys == nil {
		s.live.keys = map[string]value{}
		s.older = map[string][]value{}
	}
	if v, ok := s.live.keys[key]; ok {
		s.older[key] = append(s.older[key], v)
	}
	s.live.index++
	s.live.keys[key] = value{
		text:     text,
		modified: s.live.index,
	}
	s.wake()
}

// Truncate cuts a value to its first n bytes. Error: ErrNotFound.
func (s *Store) Truncate(key string, n int) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	v, ok := s.live.keys[key]
	if !ok {
		return errors.Annotate(ErrNotFound, key)
	}
	s.put(key, v.text[:min(n, len(v.text))])

	return nil
}

// RollBack puts the value before the last one back, with the index that it
// had, so that the store's index goes backwards. Error: ErrNoOlder.
func (s *Store) RollBack(key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := len(s.older[key])
	if n == 0 {
		return errors.Annotate(ErrNoOlder, key)
	}
	s.live.keys[key] = s.older[key][n-1]
	s.older[key] = s.older[key][:n-1]
	s.live.index = s.live.keys[key].modified
	s.resets++
	s.wake()

	return nil
}

// SetDown makes all reads fail, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.down = down
	s.wake()
}

// SetStale makes all reads return the contents of this moment, or ends that.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stale = nil
	if stale {
		s.stale = &contents{
			index: s.live.index,
			keys:  maps.Clone(s.live.keys),
		}
	}
	s.wake()
}

// Calls returns the number of calls so far; a waiting watch counts as one.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Store) view() *contents {
	if s.stale != nil {
		return s.stale
	}

	return &s.live
}

// keysUnder returns the sorted keys under prefix and the index, and the
// channel that closes at the next change.
func (s *Store) keysUnder(prefix string) ([]string, uint64, int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.changed == nil {
		s.wake()
	}
	v := s.view()
	keys := []string{}
	for k := range v.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)

	return keys, v.index, s.resets, s.changed
}

func (s *Store) get(key string) (value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	v, ok := s.view().keys[key]

	return v, ok
}

// admit counts a call and reports whether the service is up and within its rate.
func (s *Store) admit(now time.Time) (up, within bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.calls++

	return !s.down, s.rate.take(now)
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.down
}
