package opaque

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxDrainBatches bounds the batches that are handled before a tick, so that a flood
	// can't delay ticks. 16 batches are about as many datagrams as two socket buffers of the
	// usual 200 KB hold.
	maxDrainBatches = 16
	// maxDrainTime bounds the time spent on batches before a tick, including the wait for
	// batches that a socket's goroutine has read and not yet sent. It is half of the
	// interval between two ticks.
	maxDrainTime = 10 * time.Millisecond
	// minLoggedPause is the delay of a tick above which the process counts as paused and
	// the pause is logged.
	minLoggedPause = 250 * time.Millisecond
)

// loopMetrics show how far a Loop lags behind its ticks and sockets.
type loopMetrics struct {
	// tick measures the delays of ticks.
	tick *metrics.Histogram
	// behind counts the ticks that ran while older datagrams may have been unhandled.
	behind *metrics.Counter
}

func newLoopMetrics(s *metrics.Set) loopMetrics {
	return loopMetrics{
		tick:   s.NewHistogram("ibisfold_tick_delay_seconds"),
		behind: s.NewCounter("ibisfold_ticks_behind_total"),
	}
}

// tick advances the time of the state, after handling the datagrams that have already
// arrived. Otherwise a timeout could expire while the answer waits in the socket, and this
// process would mistake its own delay for the silence of another process.
func (l *Loop) tick(due time.Time, batches <-chan inputBatch) {
	delay := max(0, time.Since(due))
	l.Process.loopMetrics.tick.Update(delay.Seconds())
	if delay > minLoggedPause {
		l.Process.Log.Info("process was paused", "duration", delay.Round(time.Millisecond))
	}
	behind := !l.drainInputs(batches)
	if behind {
		l.Process.loopMetrics.behind.Inc()
	}
	l.Tick(behind)
}

// drainInputs handles datagrams that arrived before the call, up to maxDrainBatches and
// maxDrainTime. It reports whether all of them were handled.
func (l *Loop) drainInputs(batches <-chan inputBatch) bool {
	if l.drainedSince(time.Time{}) {
		return true
	}
	start := time.Now()
	timeout := time.NewTimer(maxDrainTime)
	defer timeout.Stop()

	for range maxDrainBatches {
		select {
		case b := <-batches:
			l.handle(b)
			l.Flush()
		case <-timeout.C:
			return l.drainedSince(start)
		}
		if l.drainedSince(start) {
			return true
		}
	}

	return false
}

// drainedSince reports whether every socket is drained now or was drained at some time
// since t. With a zero t only the present state counts.
func (l *Loop) drainedSince(t time.Time) bool {
	for n := range l.Inputs {
		i := &l.Inputs[n]
		if !t.IsZero() && !i.drainedAt.Before(t) {
			continue
		}
		if !i.Socket.Drained() {
			return false
		}
	}

	return true
}

func (l *Loop) handle(b inputBatch) {
	l.Process.logSocketError(b.batch.Err)
	b.input.Handle(b.batch)
	if !b.batch.DrainedAt.IsZero() {
		b.input.drainedAt = b.batch.DrainedAt
	}
}
