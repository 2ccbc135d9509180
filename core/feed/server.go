package feed

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/web"
)

const (
	pathListing = "/listing"
	pathChanges = "/changes"
	// maxWait bounds the wait that a follower may ask for.
	maxWait = 5 * time.Second
)

// Server serves a Log to followers over HTTP. It implements kernel.Runner.
type Server struct {
	Address netip.AddrPort
	Log     *Log
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	return errors.Annotate(web.Serve(ctx, s.Address, s.Handler()), "feed")
}

// Handler returns the HTTP handler for listings and watches.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+pathListing, func(w http.ResponseWriter, _ *http.Request) {
		b, err := s.Log.List()
		writeBatch(w, b, err)
	})
	m.HandleFunc("GET "+pathChanges, func(w http.ResponseWriter, r *http.Request) {
		after, err := s.parsePosition(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}
		wait, err := time.ParseDuration(r.FormValue("wait"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}
		b, err := s.Log.Watch(r.Context(), after, min(wait, maxWait))
		writeBatch(w, b, err)
	})

	return m
}

// parsePosition returns the position of a follower's watch. A follower of an earlier version
// names no era; it is assumed to be in that of the Log.
func (s *Server) parsePosition(r *http.Request) (Position, error) {
	p := Position{
		Era: s.Log.Position().Era,
	}
	err := error(nil)
	if v := r.FormValue("era"); v != "" {
		if p.Era, err = strconv.ParseUint(v, 10, 64); err != nil {
			return Position{}, errors.Annotate(err, "era")
		}
	}
	if p.Revision, err = strconv.ParseUint(r.FormValue("after"), 10, 64); err != nil {
		return Position{}, errors.Annotate(err, "after")
	}

	return p, nil
}

func writeBatch(w http.ResponseWriter, b Batch, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}
	p, err := encodeBatch(b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}
	// A follower that has disconnected calls again.
	_, _ = w.Write(p)
}
