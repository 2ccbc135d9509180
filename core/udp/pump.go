package udp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// pumpDeadline bounds the time until Pump notices that its context is done.
	pumpDeadline = 200 * time.Millisecond
	// errorPause is the wait after an error of a socket, which may come again at once.
	errorPause = 10 * time.Millisecond
)

// Batch is what one Read returned. The receiver calls Done when it no longer
// needs the bytes.
type Batch struct {
	*Reader
	// Count is the number of datagrams.
	Count int
	// Refused tells that the peer of a connected socket refused a datagram.
	Refused bool
	// Err is an error of the socket that does not end it; Count is then zero.
	Err error
	// DrainedAt is a time before the read began if the read left nothing behind in the
	// socket; zero otherwise. What arrived before it has been read.
	DrainedAt time.Time
	free      chan<- *Reader
}

// Done gives the buffers back.
func (b Batch) Done() {
	b.socket.pending.Add(-1)
	b.free <- b.Reader
}

// Transient reports whether a socket goes on after an error of Read, such as a lack of
// buffers or a host that is out of reach. It waits for a moment then, as the error may
// come again at once.
func Transient(err error) bool {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return false
	}
	time.Sleep(errorPause)

	return true
}

func unlessRefused(err error, refused bool) error {
	if refused {
		return nil
	}

	return err
}

// Pump reads batches and sends them to out until ctx is done, so that one
// goroutine can own the state that packets of several sockets change. Only a closed
// socket ends it early; other errors are told in a batch.
func (s *Socket) Pump(ctx context.Context, out chan<- Batch) error {
	free := make(chan *Reader, 2)
	free <- s.NewReader()
	free <- s.NewReader()

	for ctx.Err() == nil {
		r := <-free
		began := time.Now()
		ready, err := s.await(began.Add(pumpDeadline))
		if err == nil && !ready {
			free <- r

			continue
		}
		s.pending.Add(1)
		n := 0
		if err == nil {
			n, err = r.read(s.drain.readFlags())
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
			b.DrainedAt = began
		}
		select {
		case out <- b:
		case <-ctx.Done():
		}
	}

	return nil
}
