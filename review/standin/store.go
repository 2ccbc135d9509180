package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the maximum number of items in one page of a range.
const pageItems = 500

// storeItem is a key of the store, or the event of its change.
type storeItem struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Removed  bool   `json:",omitempty"`
}

// contents is everything that a copy of the store holds.
type contents struct {
	items    map[string]storeItem
	history  []storeItem
	revision uint64
}

func (c *contents) clone() contents {
	return contents{
		items:    maps.Clone(c.items),
		history:  slices.Clone(c.history),
		revision: c.revision,
	}
}

// store stands in for the platform's metadata store. It serves the reading calls of the
// users' pages; the operator and the endpoints write through its methods.
type store struct {
	mu sync.Mutex
	contents
	era     int
	away    bool
	changed chan struct{}
	// expires holds the time at which the entry of an endpoint is removed.
	expires map[string]time.Time
}

func newStore() *store {
	return &store{
		contents: contents{
			items:    map[string]storeItem{},
			revision: 100,
		},
		era:     1,
		changed: make(chan struct{}),
		expires: map[string]time.Time{},
	}
}

// apply records a change under the next revision. The caller holds mu.
func (s *store) apply(i storeItem) {
	s.revision++
	i.Revision = s.revision
	old, ok := s.items[i.Key]
	switch {
	case i.Removed:
		delete(s.items, i.Key)
	case ok:
		i.Created = old.Created
		s.items[i.Key] = i
	default:
		i.Created = s.revision
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
}

// wake ends all waits of watches. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key and reports the revision, or false while the store is away.
func (s *store) put(key string, value []byte) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.apply(storeItem{
		Key:   key,
		Value: value,
	})

	return s.revision, true
}

// beat writes the entry of an endpoint if it differs from the stored one or if again is
// set, and extends its life by ttl. It returns the era, or 0 while the store is away.
func (s *store) beat(key string, value []byte, ttl time.Duration, again bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	if old, ok := s.items[key]; again || !ok || string(old.Value) != string(value) {
		s.apply(storeItem{
			Key:   key,
			Value: value,
			Lease: 1,
		})
	}
	s.expires[key] = time.Now().Add(ttl)

	return s.era
}

// expire removes the entries of endpoints that have been silent for too long.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, at := range s.expires {
		if _, ok := s.items[key]; ok && !s.away && time.Now().After(at) {
			s.apply(storeItem{
				Key:     key,
				Removed: true,
			})
		}
	}
}

// copy returns a copy of the contents.
func (s *store) copy() contents {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.clone()
}

// setAway takes the store away or brings it back; waiting watches are cut.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// restore brings the store back from a copy.
func (s *store) restore(c contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = c.clone()
	s.era++
	s.away = false
	for key := range s.expires {
		s.expires[key] = time.Now().Add(3 * heartbeat)
	}
	s.wake()
}

func (s *store) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.revision
}

// ServeHTTP answers the calls of the system. While the store is away it breaks connections
// off.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		breakOff(w)

		return
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/ibisfold/kv-key":
		s.serveKey(w, r)
	case "/ibisfold/kv-range":
		s.serveRange(w, r)
	case "/ibisfold/kv-watch":
		s.serveWatch(w, r, era)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func breakOff(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("Key")]
	v := struct {
		storeItem
		CurrentRev uint64
	}{
		storeItem:  i,
		CurrentRev: s.revision,
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("Prefix"), r.FormValue("after")
	v := struct {
		Items      []storeItem `json:"items"`
		HasMore    bool
		CurrentRev uint64
	}{
		Items: []storeItem{},
	}
	s.mu.Lock()
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(v.Items) == pageItems {
			v.HasMore = true

			break
		}
		v.Items = append(v.Items, s.items[key])
	}
	v.CurrentRev = s.revision
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(v)
}

// serveWatch answers with the events after a revision as soon as there are any. A watch from
// a revision that the store does not have gets 410.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, era int) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	prefix := r.FormValue("Prefix")
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	expired := false
	for {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			breakOff(w)

			return
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)

			return
		}
		v := struct {
			Events     []storeItem `json:"events"`
			CurrentRev uint64
		}{
			Events:     []storeItem{},
			CurrentRev: s.revision,
		}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				v.Events = append(v.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(v.Events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(v)

			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
