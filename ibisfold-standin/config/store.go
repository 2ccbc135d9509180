// Package config simulates the configuration service: it serves the part of the Consul HTTP API
// that ibisfold reads, with faults that a test or a demo sets.
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
	// Prefix is the prefix of all ticket keys; the name of the ticket follows it.
	Prefix = "ibisfold/tickets/"
	// MaxCallsPerSecond is the rate limit of the service over all readers together.
	MaxCallsPerSecond = 2000
	// MaxValueBytes is the maximum length of a value.
	MaxValueBytes = 1_000_000
)

// Sentinel errors of this package.
const (
	ErrTooLong         = errors.ConstError("value is longer than 1 MB")
	ErrNotFound        = errors.ConstError("no such key")
	ErrNoPreviousValue = errors.ConstError("key has no older value")
)

// value is one version of a key.
type value struct {
	text []byte
	// modified is the store's index at the time the version was written.
	modified uint64
}

// snapshot holds all keys and the index of the last change.
type snapshot struct {
	index uint64
	keys  map[string]value
}

// Store holds the keys of the service and its simulated faults. The zero value is empty and has no
// faults.
type Store struct {
	mu       sync.Mutex
	current  snapshot
	previous map[string][]value
	changed  chan struct{}
	// indexResets counts how often the index went backwards.
	indexResets int

	down    bool
	stale   *snapshot
	limiter tokenBucket
	calls   int
}

// tokenBucket limits the rate of calls.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = MaxCallsPerSecond
	}
	b.tokens = min(MaxCallsPerSecond, b.tokens+now.Sub(b.last).Seconds()*MaxCallsPerSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}

// LoadDir publishes each *.yaml file of a directory, in the order of their names; see KeyOf.
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

// PublishFile publishes one ticket file under its key; see KeyOf.
func (s *Store) PublishFile(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}

	return s.Publish(KeyOf(path), b)
}

// KeyOf returns the key of a ticket file: Prefix and the file name without .yaml.
func KeyOf(path string) string {
	return Prefix + strings.TrimSuffix(filepath.Base(path), ".yaml")
}

// Publish writes a value. Error: ErrTooLong.
func (s *Store) Publish(key string, text []byte) error {
	if len(text) > MaxValueBytes {
		return ErrTooLong
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	s.put(key, text)

	return nil
}

func (s *Store) put(key string, text []byte) {
	if s.current.keys == nil {
		s.current.keys = map[string]value{}
		s.previous = map[string][]value{}
	}
	if v, ok := s.current.keys[key]; ok {
		s.previous[key] = append(s.previous[key], v)
	}
	s.current.index++
	s.current.keys[key] = value{
		text:     text,
		modified: s.current.index,
	}
	s.notifyWatches()
}

// Truncate publishes the first n bytes of a key's value as its new value. Error: ErrNotFound.
func (s *Store) Truncate(key string, n int) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	v, ok := s.current.keys[key]
	if !ok {
		return errors.Annotate(ErrNotFound, key)
	}
	s.put(key, v.text[:min(n, len(v.text))])

	return nil
}

// RollBack restores the previous value of a key and the index at which it was written, so that
// the store's index goes backwards. Error: ErrNoPreviousValue.
func (s *Store) RollBack(key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := len(s.previous[key])
	if n == 0 {
		return errors.Annotate(ErrNoPreviousValue, key)
	}
	s.current.keys[key] = s.previous[key][n-1]
	s.previous[key] = s.previous[key][:n-1]
	s.current.index = s.current.keys[key].modified
	s.indexResets++
	s.notifyWatches()

	return nil
}

// SetDown sets whether all reads fail.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.down = down
	s.notifyWatches()
}

// SetStale sets whether all reads return the contents of this moment instead of current ones.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stale = nil
	if stale {
		s.stale = &snapshot{
			index: s.current.index,
			keys:  maps.Clone(s.current.keys),
		}
	}
	s.notifyWatches()
}

// Calls returns the number of calls so far. A blocking watch counts as one.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

// notifyWatches wakes all blocking watches.
func (s *Store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// visible returns the contents that readers see.
func (s *Store) visible() *snapshot {
	if s.stale != nil {
		return s.stale
	}

	return &s.current
}

// keysWithPrefix returns the sorted keys with a prefix, the index, the number of index resets, and
// a channel that is closed at the next change.
func (s *Store) keysWithPrefix(prefix string) ([]string, uint64, int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.changed == nil {
		s.notifyWatches()
	}
	v := s.visible()
	keys := []string{}
	for k := range v.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)

	return keys, v.index, s.indexResets, s.changed
}

func (s *Store) get(key string) (value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	v, ok := s.visible().keys[key]

	return v, ok
}

// admit counts a call and reports whether the service is up and within its rate limit.
func (s *Store) admit(now time.Time) (up, withinRate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.calls++

	return !s.down, s.limiter.take(now)
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.down
}
