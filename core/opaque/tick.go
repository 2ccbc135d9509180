package opaque

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// catchUpBatches bounds the batches that are taken before one tick, so that a flood
	// can't hold ticks up: with the usual 200 KB of a socket's buffer about two sockets
	// full of messages.
	catchUpBatches = 16
	// catchUpTime bounds the time for that, with the wait for batches that a socket's
	// goroutine has not handed over. It is half of the time between two ticks.
	catchUpTime = 10 * time.Millisecond
	// pauseLogTime is the delay of a tick from which the log tells it.
	pauseLogTime = 250 * time.Millisecond
)

// delays are the metrics of a loop's own delay.
type delays struct {
	tick   *metrics.Histogram
	behind *metrics.Counter
}

func newDelays(s *metrics.Set) delays {
	return delays{
		tick:   s.NewHistogram("ibisfold_tick_delay_seconds"),
		behind: s.NewCounter("ibisfold_ticks_behind_total"),
	}
}

// tick lets time pass. What has arrived until now is handled before: a wait that ends
// while its answer is in the socket would take the delay of this process for the silence
// of another one.
func (l *Loop) tick(due time.Time, batches <-chan inputBatch) {
	late := max(0, time.Since(due))
	l.Process.delays.tick.Update(late.Seconds())
	if late > pauseLogTime {
		l.Process.Log.Info("process was paused", "duration", late.Round(time.Millisecond))
	}
	behind := !l.catchUp(batches)
	if behind {
		l.Process.delays.behind.Inc()
	}
	l.Tick(behind)
}

// catchUp handles what arrived before the call, within bounds, and reports whether that
// was all.
func (l *Loop) catchUp(batches <-chan inputBatch) bool {
	if l.drained(time.Time{}) {
		return true
	}
	begin := time.Now()
	end := time.NewTimer(catchUpTime)
	defer end.Stop()

	for range catchUpBatches {
		select {
		case b := <-batches:
			l.take(b)
			l.Flush()
		case <-end.C:
			return l.drained(begin)
		}
		if l.drained(begin) {
			return true
		}
	}

	return false
}

// drained reports whether each socket is empty, or has been since a time; zero means now.
func (l *Loop) drained(since time.Time) bool {
	for n := range l.Inputs {
		i := &l.Inputs[n]
		if !since.IsZero() && !i.emptied.Before(since) {
			continue
		}
		if !i.Socket.Drained() {
			return false
		}
	}

	return true
}

func (l *Loop) take(b inputBatch) {
	l.Process.logError(b.batch.Err)
	b.input.Take(b.batch)
	if !b.batch.Emptied.IsZero() {
		b.input.emptied = b.batch.Emptied
	}
}
