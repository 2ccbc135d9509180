// Package eventlog writes structured log lines without blocking the caller. It decides
// which lines are dropped: those above a rate limit, and those that find the queue full.
// Dropped lines are counted and reported.
package eventlog

import (
	"context"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"ibisfold.example/core/program"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 1024
	// maxLinesPerSecond is the refill rate of the rate limiter's token bucket, and
	// maxBurstLines is its capacity.
	maxLinesPerSecond = 100
	maxBurstLines     = 500
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Log queues lines and writes them in the goroutine that calls Run.
type Log struct {
	logger  *log.Logger
	queue   chan line
	dropped atomic.Uint64
	// tokens and lastRefill are the state of the rate limiter. Only Info uses them.
	tokens     float64
	lastRefill time.Time
}

type line struct {
	time    time.Time
	message string
	fields  []any
}

// New returns a log that writes to w, or to standard output if w is nil. Its lines have name
// as their prefix.
func New(w io.Writer, name string) *Log {
	if w == nil {
		w = os.Stdout
	}
	l := &Log{
		logger:     program.NewLogger(w, name),
		queue:      make(chan line, maxQueuedLines),
		tokens:     maxBurstLines,
		lastRefill: time.Now(),
	}

	return l
}

// Info queues a line with alternating names and values of fields. It never blocks. It must
// not be called concurrently.
func (l *Log) Info(message string, fields ...any) {
	now := time.Now()
	l.tokens = min(maxBurstLines, l.tokens+maxLinesPerSecond*now.Sub(l.lastRefill).Seconds())
	l.lastRefill = now
	if l.tokens < 1 {
		l.dropped.Add(1)

		return
	}
	l.tokens--
	select {
	case l.queue <- line{
		time:    now,
		message: message,
		fields:  fields,
	}:
	default:
		l.dropped.Add(1)
	}
}

// Run writes queued lines until ctx is done, and then those that are left in the queue.
func (l *Log) Run(ctx context.Context) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()

	for {
		select {
		case m := <-l.queue:
			l.write(m)
		case <-report.C:
			l.reportDropped()
		case <-ctx.Done():
			l.drain()

			return nil
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case m := <-l.queue:
			l.write(m)
		default:
			l.reportDropped()

			return
		}
	}
}

func (l *Log) write(m line) {
	l.logger.SetTimeFunction(func(time.Time) time.Time {
		return m.time
	})
	l.logger.Info(m.message, m.fields...)
}

func (l *Log) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.logger.Warn("lines left out", "count", n)
	}
}
