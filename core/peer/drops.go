package peer

import (
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrSequence means that a frame of a stream was repeated, lost or reordered.
const ErrSequence = errors.ConstError("frame out of sequence")

// dropReasons are the errors for which a message is dropped, with their names in
// metrics.
var dropReasons = [...]struct {
	err  error
	name string
}{
	{err: ErrMalformed, name: "malformed"},
	{err: ErrTooLong, name: "too_long"},
	{err: ErrKind, name: "kind"},
	{err: ErrField, name: "field"},
	{err: ErrMAC, name: "mac"},
	{err: ErrSequence, name: "sequence"},
}

// Drops counts rejected messages by reason. It is safe for concurrent use.
type Drops struct {
	counts [len(dropReasons)]atomic.Uint64
}

// Count adds one to the reason of err. It ignores errors that are none of the
// sentinel errors of this package.
func (d *Drops) Count(err error) {
	for i, r := range dropReasons {
		if errors.Is(err, r.err) {
			d.counts[i].Add(1)

			return
		}
	}
}

// Each calls f with each reason's name in metrics and its count.
func (d *Drops) Each(f func(reason string, count uint64)) {
	for i, r := range dropReasons {
		f(r.name, d.counts[i].Load())
	}
}

// ByError returns the count of the reason with a sentinel error.
func (d *Drops) ByError(err error) uint64 {
	for i, r := range dropReasons {
		if errors.Is(err, r.err) {
			return d.counts[i].Load()
		}
	}

	return 0
}

// ByName returns the count of the reason with a name in metrics.
func (d *Drops) ByName(reason string) uint64 {
	for i, r := range dropReasons {
		if r.name == reason {
			return d.counts[i].Load()
		}
	}

	return 0
}
