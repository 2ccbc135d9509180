package config

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultWait and maxWait bound the time that a watch blocks, as in Consul.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	headerIndex = "X-Consul-Index"
)

// Server serves the API calls that ibisfold makes.
type Server struct {
	Store *Store
	VMs   *VMs
}

// Handler returns the HTTP handler of the API and of the admin endpoint.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv/", s.limit(s.serveKV))
	m.HandleFunc("GET /v1/catalog/service/{name}", s.limit(s.serveCatalog))
	m.HandleFunc("POST /admin/{action}", s.serveAdmin)

	return m
}

// limit answers with an error while the service is down or over its rate limit.
func (s *Server) limit(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		up, withinRate := s.Store.admit(time.Now())
		switch {
		case !up:
			http.Error(w, "no cluster leader", http.StatusInternalServerError)
		case !withinRate:
			http.Error(w, "rate limit", http.StatusTooManyRequests)
		default:
			h(w, r)
		}
	}
}

func (s *Server) serveKV(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	if r.URL.Query().Has("keys") {
		s.serveKeys(w, r, key)
		return
	}

	v, ok := s.Store.get(key)
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(headerIndex, strconv.FormatUint(v.modified, 10))
	_, _ = w.Write(v.text)
}

func (s *Server) serveKeys(w http.ResponseWriter, r *http.Request, prefix string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	keys, index, ok := s.waitKeys(r, prefix, after)
	if !ok {
		http.Error(w, "no cluster leader", http.StatusInternalServerError)
		return
	}

	w.Header().Set(headerIndex, strconv.FormatUint(max(1, index), 10))
	if len(keys) == 0 {
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(keys)
}

// waitKeys blocks until the index is above after or goes backwards, or until the wait time is over.
// It returns false if the service is down.
func (s *Server) waitKeys(r *http.Request, prefix string, after uint64) ([]string, uint64, bool) {
	t := time.NewTimer(waitTime(r))
	defer t.Stop()

	_, _, start, _ := s.Store.keysWithPrefix(prefix)
	for {
		keys, index, resets, changed := s.Store.keysWithPrefix(prefix)
		if s.Store.isDown() {
			return nil, 0, false
		}
		if after == 0 || max(1, index) > after || resets != start {
			return keys, index, true
		}
		select {
		case <-changed:
		case <-t.C:
			return keys, index, true
		case <-r.Context().Done():
			return keys, index, true
		}
	}
}

// waitTime returns how long a watch may block.
func waitTime(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || d <= 0 {
		return defaultWait
	}

	return min(d, maxWait)
}

func (s *Server) serveCatalog(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerIndex, "1")
	_ = json.NewEncoder(w).Encode(s.VMs.List(r.PathValue("name")))
}

// serveAdmin publishes values and sets faults. Its actions and their query parameters are
// publish?key (with the value in the body), truncate?key&bytes, rollback?key, down?on and stale?on.
func (s *Server) serveAdmin(w http.ResponseWriter, r *http.Request) {
	if err := s.admin(w, r); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
