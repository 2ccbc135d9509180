package udp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// pumpReadTimeout bounds the time until Pump notices that its context is done.
	pumpReadTimeout = 200 * time.Millisecond
	// errorBackoff is the pause after a socket error, because it may recur at once.
	errorBackoff = 10 * time.Millisecond
)

// Batch is the result of one read of Pump. The receiver must call Done when it no longer
// needs the datagrams.
type Batch struct {
	*Reader
	// Count is the number of datagrams.
	Count int
	// Refused means that the peer of a connected socket refused a datagram.
	Refused bool
	// Err is a transient error of the socket. Count is then zero.
	Err error
	// DrainedAt is set if the read emptied the socket: all datagrams that arrived before
	// this time have been read. It is zero if datagrams may be left.
	DrainedAt time.Time
	free      chan<- *Reader
}

// Done returns the buffers to Pump for a later read.
func (b Batch) Done() {
	b.socket.pending.Add(-1)
	b.free <- b.Reader
}

// Transient reports whether a socket remains usable after an error of Read, such as a lack
// of buffers or an unreachable host. If so, it first sleeps for errorBackoff.
func Transient(err error) bool {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return false
	}
	time.Sleep(errorBackoff)

	return true
}

// unlessRefused returns err, or nil for a refusal, which Batch reports as Refused.
func unlessRefused(err error, refused bool) error {
	if refused {
		return nil
	}

	return err
}

// Pump reads batches and sends them to out until ctx is done, so that a single goroutine
// can own the state that packets of several sockets change. Only a closed socket ends it
// early; other errors are sent as a batch.
func (s *Socket) Pump(ctx context.Context, out chan<- Batch) error {
	free := make(chan *Reader, 2)
	free <- s.NewReader()
	free <- s.NewReader()

	for ctx.Err() == nil {
		r := <-free
		start := time.Now()
		ready, err := s.waitReadable(start.Add(pumpReadTimeout))
		if err == nil && !ready {
			free <- r

			continue
		}
		s.pending.Add(1)
		n := 0
		if err == nil {
			n, err = r.read(s.readiness.readFlags())
		}
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if err != nil && !refused && !Transient(err) && ctx.Err() == nil {
			return errors.Annotate(err, "read")
		}
		if n == 0 && err == nil {
			s.pending.Add(-1)
			free <- r

			continue
		}
		b := Batch{
			Reader:  r,
			Count:   n,
			Refused: refused,
			Err:     unlessRefused(err, refused),
			free:    free,
		}
		if err == nil && n < BatchSize {
			b.DrainedAt = start
		}
		select {
		case out <- b:
		case <-ctx.Done():
		}
	}

	return nil
}
