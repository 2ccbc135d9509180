// Package web holds the HTTP server and client of the processes. It bounds how long a
// connection may be idle, and serves /metrics and /healthz to operators.
package web

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

// Server serves the metrics and the health of a process. It implements kernel.Runner.
type Server struct {
	// Addr is the address to listen on.
	Addr netip.AddrPort
	// Healthy reports whether the process should receive traffic.
	Healthy func() bool
	// Metrics is the set that /metrics serves in addition to the metrics of the Go runtime
	// and the operating system process.
	Metrics *metrics.Set
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	return errors.Annotate(Serve(ctx, s.Addr, s.Handler()), "http")
}

// Handler returns the handler of all routes.
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
