package opaque

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/udp"
)

// stoppedContext is done, but contexts derived from it do not know yet.
type stoppedContext struct {
	context.Context
}

func (stoppedContext) Err() error {
	return context.Canceled
}

// Guards against a planned stop that ends with an error and exit status 1, because the sockets
// are closed before the cancellation has reached the context of the readers.
func TestSocketClosedAtStopIsNoFailure(t *testing.T) {
	for _, stopped := range []bool{true, false} {
		is := is.New(t)
		s, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		is.NoErr(err)
		is.NoErr(s.Close())
		l := Loop{
			Process: New("test"),
			Inputs: []Input{
				{
					Socket: s,
					Handle: func(b udp.Batch) {
						b.Done()
					},
				},
			},
			TickTime: time.Second,
			Tick:     func(bool) {},
			Flush:    func() {},
		}
		ctx := context.Background()
		if stopped {
			ctx = stoppedContext{
				Context: ctx,
			}
		}
		is.Equal(l.Run(ctx) == nil, stopped)
	}
}
