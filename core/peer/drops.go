package peer

import (
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrSequence means that a frame was repeated, lost or reordered.
const ErrSequence = errors.ConstError("frame out of sequence")

// reasons are the errors that drop a message, with their names in metrics.
var reasons = [...]struct {
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
	counts [len(reasons)]atomic.Uint64
}

// Count counts err if it is one of the sentinel errors of this package.
func (d *Drops) Count(err error) {
	for i, r := range reasons {
		if errors.Is(err, r.err) {
			d.counts[i].Add(1)

			return
		}
	}
}

// Each calls f for each reason with its count.
func (d *Drops) Each(f func(reason string, count uint64)) {
	for i, r := range reasons {
		f(r.name, d.counts[i].Load())
	}
}

// Of returns the count of one reason, by its sentinel error.
func (d *Drops) Of(err error) uint64 {
	for i, r := range reasons {
		if errors.Is(err, r.err) {
			return d.counts[i].Load()
		}
	}

	return 0
}

// Named returns the count of one reason, by its name in metrics.
func (d *Drops) Named(reason string) uint64 {
	for i, r := range reasons {
		if r.name == reason {
			return d.counts[i].Load()
		}
	}

	return 0
}
