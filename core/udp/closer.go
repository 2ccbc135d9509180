package udp

import "context"

// Closer closes sockets when the services of a process stop. This ends reads that block
// without a deadline. It implements kernel.Runner.
type Closer struct {
	Sockets []*Socket
}

// Run waits until ctx is done and then closes the sockets.
func (c *Closer) Run(ctx context.Context) error {
	<-ctx.Done()
	for _, s := range c.Sockets {
		// The process is ending, so an error has no consequence.
		_ = s.Close()
	}

	return nil
}
