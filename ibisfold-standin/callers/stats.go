package callers

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ibisfold.example/ibisfold-standin/target"
)

// Bounds and precision of the latency histograms.
const (
	minLatency               = int64(time.Microsecond)
	maxLatency               = int64(2 * time.Minute)
	latencySignificantDigits = 2
)

// Stats collects the results of a load. Its methods are safe for concurrent use.
type Stats struct {
	mu     sync.Mutex
	counts Counts
	// refused holds the requests that were refused with the status not run.
	refused     []target.Run
	latency     *hdrhistogram.Histogram
	brokenFlows []BrokenFlow
}

// maxBrokenFlows bounds the number of broken flows that are kept.
const maxBrokenFlows = 2000

// BrokenFlow describes a flow that ended although its zone was in service.
type BrokenFlow struct {
	At   time.Time
	Flow uint64
	// Cause is "reset" or "silent".
	Cause string
	// Agent and Zone are those of the flow's last token, which the caller got at TokenSince.
	Agent      netip.AddrPort
	Zone       uint64
	TokenSince time.Time
	// Opened is the time at which the flow was opened.
	Opened time.Time
	// Request is the number in the packet that ended the flow, or zero.
	Request uint64
}

// Counts holds the numbers of flows and requests by outcome.
type Counts struct {
	// Flows counts the opened flows.
	Flows int
	// Broken counts flows that ended although their zone was in service.
	Broken int
	// Silent counts the broken flows that ended because replies were missing, not by a Reset.
	Silent int
	// GivenUp counts flows that ended because their zone was taken out of service.
	GivenUp int

	// Requests counts arrivals. Each also counts in one of the fields up to Ended.
	Requests int
	Answered int
	// NotRun counts requests that were refused until their deadline.
	NotRun int
	// Unknown counts requests with any other status, such as an unknown outcome.
	Unknown int
	// NoAnswer counts requests without an answer or a refusal at their deadline.
	NoAnswer int
	// NoFlow counts arrivals on a flow that was not open.
	NoFlow int
	// Ended counts requests whose flow ended before their answer.
	Ended int

	// Refusals counts refusals, including those of requests that were answered later.
	Refusals int
	// Repeats counts retransmissions.
	Repeats int
	// WrongService counts answers from another service.
	WrongService int
	// WrongAnswers counts answers to other requests and corrupted answers.
	WrongAnswers int
	// Moved counts tokens with another agent than the flow's previous token.
	Moved int
}

// NewStats returns empty statistics.
func NewStats() *Stats {
	return &Stats{
		latency: hdrhistogram.New(minLatency, maxLatency, latencySignificantDigits),
	}
}

// Counts returns a copy of the counts.
func (s *Stats) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.counts
}

// Latency returns a percentile, from 0 to 100, of the time from the arrival of a request to its
// complete answer.
func (s *Stats) Latency(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	return time.Duration(s.latency.ValueAtQuantile(q))
}

// FalseNotRun returns the number of refusals with the status not run whose request did run on a
// target.
func (s *Stats) FalseNotRun(l *target.Ledger) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := 0
	for _, r := range s.refused {
		if l.Runs(r) > 0 {
			n++
		}
	}

	return n
}

// BrokenFlows returns the first broken flows.
func (s *Stats) BrokenFlows() []BrokenFlow {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.brokenFlows)
}

func (s *Stats) addBrokenFlow(f BrokenFlow) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.counts.Broken++
	if f.Cause == causeSilent {
		s.counts.Silent++
	}
	if len(s.brokenFlows) < maxBrokenFlows {
		s.brokenFlows = append(s.brokenFlows, f)
	}
}

func (s *Stats) count(f func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f(&s.counts)
}

func (s *Stats) addRefusal(r target.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.counts.Refusals++
	s.refused = append(s.refused, r)
}

func (s *Stats) addAnswer(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.counts.Answered++
	_ = s.latency.RecordValue(min(int64(d), maxLatency))
}
