package udp

import (
	"syscall"
	"time"
)

// readiness detects datagrams that wait in the kernel, without reading them. It does not
// inspect connected sockets, because peeking would consume a pending error, such as the
// refusal of a datagram.
type readiness struct {
	raw       syscall.RawConn
	connected bool
	// peek sets hasData. Drained uses it.
	peek    func(fd uintptr)
	hasData bool
	// poll reports whether a datagram can be read. waitReadable uses it.
	poll func(fd uintptr) bool
	// polled means that poll was already called in this wait. The runtime's network poller
	// calls it again only when the socket has become readable.
	polled bool
}

func newReadiness(raw syscall.RawConn, connected bool) *readiness {
	r := &readiness{
		raw:       raw,
		connected: connected,
	}
	// The closures are stored so that calls don't allocate.
	r.poll = func(fd uintptr) bool {
		if r.polled {
			return true
		}
		r.polled = true

		return readable(fd)
	}
	r.peek = func(fd uintptr) {
		r.hasData = readable(fd)
	}

	return r
}

// readFlags returns the flags for a read after waitReadable.
func (r *readiness) readFlags() int {
	if r.connected {
		return 0
	}

	return syscall.MSG_DONTWAIT
}

// waitReadable waits until a datagram can be read. It leaves the datagram in the kernel, so
// that Pump can count a batch as pending before reading it. It returns false if the deadline
// passes. On a connected socket it only sets the deadline, and the read itself waits.
func (s *Socket) waitReadable(deadline time.Time) (bool, error) {
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return false, err
	}
	if s.readiness.connected {
		return true, nil
	}
	s.readiness.polled = false
	err := s.readiness.raw.Read(s.readiness.poll)
	if isTimeout(err) {
		return false, nil
	}

	return err == nil, err
}

// Drained reports whether all datagrams that have arrived are handled: none waits in the
// kernel or in a batch of Pump for which Done was not called. A connected socket always
// counts as drained. Drained must not be called concurrently.
func (s *Socket) Drained() bool {
	if s.readiness.connected {
		return true
	}
	// Pump counts a batch as pending before it reads it from the kernel, so the kernel
	// has to be checked first.
	if err := s.readiness.raw.Control(s.readiness.peek); err != nil || s.readiness.hasData {
		return false
	}

	return s.pending.Load() == 0
}
