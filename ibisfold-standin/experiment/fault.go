package experiment

import (
	"time"

	"ibisfold.example/core/admission"
)

// Fault makes the load reports between agents wrong.
type Fault interface {
	// Name labels the fault in tables.
	Name() string
	isFault()
}

// Lag delays all load reports.
type Lag struct{ Delay time.Duration }

// Freeze stops the load reports of one target at a time, or of all targets if
// Target is negative.
type Freeze struct {
	Target int
	From   time.Duration
}

// Lie multiplies what one target reports.
type Lie struct {
	Target int
	Factor float64
}

// Name implements Fault.
func (f Lag) Name() string { return "lag " + f.Delay.String() }

// Name implements Fault.
func (f Freeze) Name() string {
	if f.Target < 0 {
		return "all frozen"
	}

	return "one frozen"
}

// Name implements Fault.
func (f Lie) Name() string {
	if f.Factor < 1 {
		return "one at a tenth"
	}

	return "one tenfold"
}

func (Lag) isFault()    {}
func (Freeze) isFault() {}
func (Lie) isFault()    {}

// lie returns what the target reports instead of l.
func lie(f Fault, index int, l admission.Load) admission.Load {
	switch f := f.(type) {
	case Lie:
		if f.Target == index {
			l.Busy *= f.Factor
			l.Running = int(float64(l.Running) * f.Factor)
			l.Waiting = int(float64(l.Waiting) * f.Factor)
			l.Flows = int(float64(l.Flows) * f.Factor)
		}
	case Lag, Freeze:
	}

	return l
}

// heartbeatDelay is the age of a heartbeat on arrival, or false if none is sent.
func heartbeatDelay(f Fault, index int, now, way time.Duration) (time.Duration, bool) {
	switch f := f.(type) {
	case Lag:
		return f.Delay, true
	case Freeze:
		return way, now < f.From || f.Target >= 0 && f.Target != index
	default:
		return way, true
	}
}

// carries reports whether moved requests and their answers carry the load of a target.
func carries(f Fault, index int) bool {
	switch f := f.(type) {
	case Lag:
		return false
	case Freeze:
		return f.Target >= 0 && f.Target != index
	default:
		return true
	}
}
