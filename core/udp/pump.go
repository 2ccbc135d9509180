package udp

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// pumpDeadline bounds the time until Pump notices that its context is done.
const pumpDeadline = 200 * time.Millisecond

// Batch is what one Read returned. The receiver calls Done when it no longer
// needs the bytes.
type Batch struct {
	*Reader
	// Count is the number of datagrams.
	Count int
	// Refused tells that the peer of a connected socket refused a datagram.
	Refused bool
	free    chan<- *Reader
}

// Done gives the buffers back.
func (b Batch) Done() {
	b.free <- b.Reader
}

// Pump reads batches and sends them to out until ctx is done, so that one
// goroutine can own the state that packets of several sockets change.
func (s *Socket) Pump(ctx context.Context, out chan<- Batch) error {
	free := make(chan *Reader, 2)
	free <- s.NewReader()
	free <- s.NewReader()

	for ctx.Err() == nil {
		r := <-free
		n, err := r.Read(time.Now().Add(pumpDeadline))
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if err != nil && !refused && ctx.Err() == nil {
			return errors.Annotate(err, "read")
		}
		if n == 0 && !refused {
			free <- r

			continue
		}
		b := Batch{
			Reader:  r,
			Count:   n,
			Refused: refused,
			free:    free,
		}
		select {
		case out <- b:
		case <-ctx.Done():
		}
	}

	return nil
}
