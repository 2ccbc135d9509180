package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stats counts outcomes by the second of the intended arrival, so that requests which a slow
// system delays are not missing from the measurement (coordinated omission).
type stats struct {
	attempts int
	seconds  []periodStats
	tenants  map[int]*tenantStats
}

// periodStats counts the requests that callers meant to send within a period, such as one
// second. Only attempts counts by the time of the attempt, and finished by the time of the
// answer.
type periodStats struct {
	attempts int
	offered  int
	// good counts the requests answered within the deadline, refused those that did not
	// run, failed those with an unknown outcome.
	good    int
	refused int
	failed  int
	// finished counts the answers within the deadline.
	finished int
	// waits are the times from the intended arrival until the target started, queues those
	// from the arrival of the answered attempt. All histograms are in microseconds.
	waits   *hdrhistogram.Histogram
	queues  *hdrhistogram.Histogram
	latency *hdrhistogram.Histogram
}

// tenantStats counts the requests of a tenant.
type tenantStats struct {
	offered int
	good    int
	latency *hdrhistogram.Histogram
}

func newStats() *stats {
	return &stats{
		tenants: map[int]*tenantStats{},
	}
}

// periodStats returns the counts of the second that contains at.
func (s *stats) periodStats(at time.Duration) *periodStats {
	i := int(at / time.Second)
	for len(s.seconds) <= i {
		s.seconds = append(s.seconds, periodStats{})
	}

	return &s.seconds[i]
}

// tenant returns the counts of tenant n.
func (s *stats) tenant(n int) *tenantStats {
	t, ok := s.tenants[n]
	if !ok {
		t = &tenantStats{
			latency: newHistogram(),
		}
		s.tenants[n] = t
	}

	return t
}

// offered records a request that a caller means to send.
func (s *stats) offered(at time.Duration, tenant int) {
	s.periodStats(at).offered++
	s.tenant(tenant).offered++
}

// sent records an attempt.
func (s *stats) sent(now time.Duration) {
	s.attempts++
	s.periodStats(now).attempts++
}

// refused records a request that has not run and is not retried.
func (s *stats) refused(at time.Duration) { s.periodStats(at).refused++ }

// failed records a request with an unknown outcome.
func (s *stats) failed(at time.Duration) { s.periodStats(at).failed++ }

// answered records an answer. Latency counts from the intended arrival.
func (s *stats) answered(now time.Duration, q *request) {
	latency := now - q.arrival.at
	c := s.periodStats(q.arrival.at)
	if c.waits == nil {
		c.waits = newHistogram()
		c.queues = newHistogram()
		c.latency = newHistogram()
	}
	_ = c.waits.RecordValue((q.started - q.arrival.at).Microseconds())
	_ = c.queues.RecordValue((q.started - q.received).Microseconds())
	_ = c.latency.RecordValue(latency.Microseconds())
	_ = s.tenant(q.tenant).latency.RecordValue(latency.Microseconds())
	if latency <= deadline {
		c.good++
		s.tenant(q.tenant).good++
		s.periodStats(now).finished++
	}
}

// total adds up the seconds in [from, to).
func (s *stats) total(from, to time.Duration) periodStats {
	t := periodStats{
		waits:   newHistogram(),
		queues:  newHistogram(),
		latency: newHistogram(),
	}
	for i := int(from / time.Second); i < min(len(s.seconds), int(to/time.Second)); i++ {
		c := s.seconds[i]
		t.attempts += c.attempts
		t.offered += c.offered
		t.good += c.good
		t.refused += c.refused
		t.failed += c.failed
		t.finished += c.finished
		if c.waits != nil {
			t.waits.Merge(c.waits)
			t.queues.Merge(c.queues)
			t.latency.Merge(c.latency)
		}
	}

	return t
}

// line returns one count of each second until end, relative to the capacity.
func (s *stats) line(name string, capacity float64, end time.Duration, count func(*periodStats) int) Line {
	l := Line{
		Name: name,
	}
	for i := range min(len(s.seconds), int(end/time.Second)) {
		l.X = append(l.X, float64(i))
		l.Y = append(l.Y, float64(count(&s.seconds[i]))/capacity)
	}

	return l
}

// milliseconds returns the quantile p, in percent, of a histogram of microseconds.
func milliseconds(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtQuantile(p)) / 1000
}
