package experiment

import (
	"time"

	"ibisfold.example/core/admission"
)

// Fault falsifies or delays the load reports between agents. Nil means no fault.
type Fault interface {
	// Name returns the label of the fault in tables.
	Name() string
	isFault()
}

// Lag delays all heartbeats. Requests that agents move, and their answers, carry no load
// report.
type Lag struct{ Delay time.Duration }

// Freeze stops the load reports of one target, or of all targets if Target is negative. The
// heartbeats stop at From, the reports with moved requests are missing from the start.
type Freeze struct {
	Target int
	From   time.Duration
}

// Misreport multiplies the load that one target reports by Factor.
type Misreport struct {
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
func (f Misreport) Name() string {
	if f.Factor < 1 {
		return "one at a tenth"
	}

	return "one tenfold"
}

func (Lag) isFault()       {}
func (Freeze) isFault()    {}
func (Misreport) isFault() {}

// misreport returns the load that a target reports under fault f if l is its true load.
func misreport(f Fault, index int, l admission.Load) admission.Load {
	switch f := f.(type) {
	case Misreport:
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

// heartbeatDelay returns the age of a heartbeat on arrival, or false if none is sent.
func heartbeatDelay(f Fault, index int, now, pathDelay time.Duration) (time.Duration, bool) {
	switch f := f.(type) {
	case Lag:
		return f.Delay, true
	case Freeze:
		return pathDelay, now < f.From || f.Target >= 0 && f.Target != index
	default:
		return pathDelay, true
	}
}

// carriesLoad reports whether moved requests and their answers carry the load of a target.
func carriesLoad(f Fault, index int) bool {
	switch f := f.(type) {
	case Lag:
		return false
	case Freeze:
		return f.Target >= 0 && f.Target != index
	default:
		return true
	}
}
