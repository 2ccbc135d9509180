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
	// headerTime bounds the time until a call's header has come, so that a silent peer
	// holds no connection.
	headerTime = 2 * time.Second
	// idleTime is how long a connection may be idle between two calls.
	idleTime = 10 * time.Second
)

// Serve answers HTTP calls at an address until ctx is done.
func Serve(ctx context.Context, a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return errors.Trace(err)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
	}
	stop := context.AfterFunc(ctx, func() {
		// Close fails only for a listener that is closed already.
		_ = s.Close()
	})
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}

	return nil
}
