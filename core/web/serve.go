package web

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	// headerTimeout bounds the time to read the header of a request, so that a silent peer
	// does not occupy a connection.
	headerTimeout = 2 * time.Second
	// idleTimeout bounds the time between two requests of a connection.
	idleTimeout = 10 * time.Second
)

// Serve handles HTTP requests at an address until ctx is done.
func Serve(ctx context.Context, a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return errors.Trace(err)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	stop := context.AfterFunc(ctx, func() {
		// Close fails only if the listener is already closed.
		_ = s.Close()
	})
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}

	return nil
}
