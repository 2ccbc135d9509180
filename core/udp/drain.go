package udp

import (
	"syscall"
	"time"
)

// drain tells whether datagrams wait in a socket or in batches that its Pump has read.
// Of a connected socket it tells nothing: a look at it would take an error away that
// waits, such as the refusal of a datagram.
type drain struct {
	raw       syscall.RawConn
	connected bool
	// look sets waits for the owner of the state, wait reports it to the Pump.
	look  func(fd uintptr)
	waits bool
	wait  func(fd uintptr) bool
	// woken means that wait has returned once: the poller called it again as something
	// has come.
	woken bool
}

func newDrain(raw syscall.RawConn, connected bool) *drain {
	d := &drain{
		raw:       raw,
		connected: connected,
	}
	// The functions are kept, so that a look costs no allocation.
	d.wait = func(fd uintptr) bool {
		if d.woken {
			return true
		}
		d.woken = true

		return readable(fd)
	}
	d.look = func(fd uintptr) {
		d.waits = readable(fd)
	}

	return d
}

// readFlags are those of a read after await.
func (d *drain) readFlags() int {
	if d.connected {
		return 0
	}

	return syscall.MSG_DONTWAIT
}

// await waits until a datagram can be read, and leaves it there, so that Pump can count
// a batch before it takes it. It returns false if the deadline passes.
func (s *Socket) await(deadline time.Time) (bool, error) {
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return false, err
	}
	if s.drain.connected {
		return true, nil
	}
	s.drain.woken = false
	err := s.drain.raw.Read(s.drain.wait)
	if isTimeout(err) {
		return false, nil
	}

	return err == nil, err
}

// Drained reports whether all datagrams that have arrived are handled: none waits in the
// kernel or in a batch of Pump that is not Done. One goroutine may call it at a time. A
// connected socket counts as drained.
func (s *Socket) Drained() bool {
	if s.drain.connected {
		return true
	}
	// Pump counts a batch before it takes it from the kernel, so the look at the
	// kernel has to come first.
	if err := s.drain.raw.Control(s.drain.look); err != nil || s.drain.waits {
		return false
	}

	return s.pending.Load() == 0
}
