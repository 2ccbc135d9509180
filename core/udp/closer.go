package udp

import "context"

// Closer closes sockets when the services of a process stop, which ends reads
// that wait without a deadline. It implements kernel.Runner.
type Closer struct {
	Sockets []*Socket
}

// Run waits until ctx is done.
func (c *Closer) Run(ctx context.Context) error {
	<-ctx.Done()
	for _, s := range c.Sockets {
		// The process ends; nothing is left to do about an error.
		_ = s.Close()
	}

	return nil
}
