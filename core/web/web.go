// Package web serves /metrics and /healthz to operators.
package web

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

// Server is the HTTP side of a process. It implements kernel.Runner.
type Server struct {
	// Addr is the address to bind.
	Addr netip.AddrPort
	// Healthy reports whether the process should get traffic.
	Healthy func() bool
	// Metrics is the set that /metrics shows beside the process's own figures.
	Metrics *metrics.Set
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	return errors.Annotate(Serve(ctx, s.Addr, s.Handler()), "http")
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Healthy() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)

			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})

	return m
}
