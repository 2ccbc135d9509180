package catalog

import (
	"math"
	"time"

	"github.com/juju/errors"
)

// ErrInvalidTarget means that a target has a value which no real target has.
const ErrInvalidTarget = errors.ConstError("invalid target")

// Bounds of the values of a target.
const (
	// MaxSlots is the highest number of slots: messages to agents have 16 bits for it.
	MaxSlots = math.MaxUint16
	// MaxColdLeft is the longest remaining warm-up time. A negative one has ended.
	MaxColdLeft = 24 * time.Hour
	// MaxBorn is the latest start, in Unix milliseconds: the year 2248. Of two targets at one
	// address the one that started last counts, so a start beyond it would hide the other.
	MaxBorn = 1 << 43
)

// Validate reports whether a target that another process told of can be used. Error:
// ErrInvalidTarget.
func (t *Target) Validate() error {
	switch {
	case !isUnicastIPv4(t.Address.Addr()):
		return errors.Annotatef(ErrInvalidTarget, "target %q has no IPv4 address of a VM: %v", t.ID, t.Address)
	case t.Address.Port() == 0:
		return errors.Annotatef(ErrInvalidTarget, "target %q has no port: %v", t.ID, t.Address)
	case t.Slots < 0 || t.Slots > MaxSlots:
		return errors.Annotatef(ErrInvalidTarget, "target %q has %d slots", t.ID, t.Slots)
	case t.ColdLeft < -MaxColdLeft || t.ColdLeft > MaxColdLeft:
		return errors.Annotatef(ErrInvalidTarget, "target %q is cold for %v", t.ID, t.ColdLeft)
	case t.Born < 0 || t.Born > MaxBorn:
		return errors.Annotatef(ErrInvalidTarget, "target %q started at %d", t.ID, t.Born)
	}

	return nil
}
