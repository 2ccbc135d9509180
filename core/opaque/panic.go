package opaque

import (
	"runtime/debug"
	"time"
)

const (
	// maxPanics bounds the panics within panicPeriod after which the process goes on. With more of
	// them its state no longer works, and a process that starts anew serves better.
	maxPanics   = 16
	panicPeriod = 10 * time.Second
)

// panicLimit counts the panics of the present period.
type panicLimit struct {
	began time.Duration
	count int
}

// exceeded counts a panic and reports whether there were too many.
func (l *panicLimit) exceeded(now time.Duration) bool {
	if l.count == 0 || now-l.began >= panicPeriod {
		l.began = now
		l.count = 0
	}
	l.count++

	return l.count > maxPanics
}

// RecordPanic counts and logs a panic while one datagram was handled, so that the process drops this
// datagram and goes on. The value is that of recover, the fields describe the datagram. RecordPanic
// panics again if there were too many lately. Only the goroutine of the Loop may call it.
//
// Nothing else than the handling of a datagram may go on after a panic: a tick or a change of the
// catalog that is left out half way would be missing for good.
func (p *Process) RecordPanic(value any, fields ...any) {
	p.Panics.Inc()
	if p.panicLimit.exceeded(p.Clock()) {
		panic(value)
	}
	p.Log.Info("datagram dropped: its handling failed", append(fields, "error", value, "stack", string(debug.Stack()))...)
}
