package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or the event of its removal.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Removed  bool `json:",omitempty"`
}

// store is the platform's metadata store: readable by the system, written by the operator and
// the servers.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	changed chan struct{}
	// silent means that calls get no answer until it ends.
	silent bool
	woken  chan struct{}
}

func newStore() *store {
	return &store{
		rev:     100,
		items:   map[string]item{},
		changed: make(chan struct{}),
		woken:   make(chan struct{}),
	}
}

// put writes a value. A write while the store is down waits for its return.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.awaitAwake()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	x := item{
		Key:      key,
		Value:    b,
		Revision: s.rev,
		Created:  created,
	}
	s.items[key] = x
	s.record(x)
}

// remove removes a key, also while the store is down.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{
		Key:      key,
		Revision: s.rev,
		Removed:  true,
	})
}

func (s *store) record(x item) {
	s.events = append(s.events, x)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent starts or ends an outage in which no call is answered.
func (s *store) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent && !on {
		close(s.woken)
		s.woken = make(chan struct{})
	}
	s.silent = on
}

func (s *store) awaitAwake() {
	for {
		s.mu.Lock()
		silent, woken := s.silent, s.woken
		s.mu.Unlock()
		if !silent {
			return
		}
		<-woken
	}
}

// serve answers calls at an address.
func (s *store) serve(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /ibisfold/kv-range", s.handleRange)
	m.HandleFunc("GET /ibisfold/kv-watch", s.handleWatch)
	go http.Serve(l, m)

	return nil
}

// answer writes an answer, or breaks the connection if the store is down.
func (s *store) answer(w http.ResponseWriter, r *http.Request, status int, v any) {
	s.mu.Lock()
	silent, woken := s.silent, s.woken
	s.mu.Unlock()
	if silent {
		// A connection on which an answer is lost returns nothing further.
		select {
		case <-woken:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		json.NewEncoder(w).Encode(v)
	}
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("Prefix"), r.FormValue("after")
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	list := []item{}
	for k, x := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, x)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	s.answer(w, r, http.StatusOK, map[string]any{
		"items":      list,
		"HasMore":    false,
		"CurrentRev": rev,
	})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("WaitMs"))
	if err != nil || err2 != nil || wait > 30000 {
		s.answer(w, r, http.StatusBadRequest, nil)

		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		list := []item{}
		for _, x := range s.events {
			if x.Revision > after && strings.HasPrefix(x.Key, r.FormValue("Prefix")) {
				list = append(list, x)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		done := len(list) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-end:
			case <-r.Context().Done():
				return
			}
		}
		s.answer(w, r, http.StatusOK, map[string]any{
			"events":     list,
			"CurrentRev": rev,
		})

		return
	}
}
