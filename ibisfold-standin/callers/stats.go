package callers

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ibisfold.example/ibisfold-standin/target"
)

// Bounds of the latency histograms.
const (
	minLatency               = int64(time.Microsecond)
	maxLatency               = int64(2 * time.Minute)
	latencySignificantDigits = 2
)

// Stats count what callers see. All methods may be used at the same time.
type Stats struct {
	mu sync.Mutex
	// Counts is what was counted so far.
	counts Counts
	// refused holds the requests that were refused as not run.
	refused     []target.Run
	latency     *hdrhistogram.Histogram
	brokenFlows []BrokenFlow
}

// maxFaults bounds the faults that are kept.
const maxBrokenFlows = 2000

// Fault describes a flow that broke.
type BrokenFlow struct {
	At   time.Time
	Flow uint64
	// Cause is "reset" or "silent".
	Cause string
	// Agent and Zone are those of the flow's token, Adopted the time of that token.
	Agent   netip.AddrPort
	Zone    uint64
	Adopted time.Time
	// Opened is the time at which the flow was opened.
	Opened time.Time
	// Request is the number in the packet that ended the flow, or zero.
	Request uint64
}

// Counts are the outcomes of flows and requests.
type Counts struct {
	// Flows counts the flows that were opened.
	Flows int
	// Broken counts flows that ended although their zone was in service.
	Broken int
	// Silent counts the broken flows that got no more answers.
	Silent int
	// GivenUp counts flows that ended because their zone was taken out.
	GivenUp int

	// Requests counts arrivals. Each ends in one of the counts below it.
	Requests int
	Answered int
	// NotRun counts requests that were given up after refusals.
	NotRun   int
	Unknown  int
	NoAnswer int
	// NoFlow counts arrivals when the flow was not open.
	NoFlow int
	// Ended counts requests whose flow ended before their answer.
	Ended int

	// Refusals counts refusals, also of requests that succeeded later.
	Refusals int
	// Repeats counts retransmissions.
	Repeats int
	// WrongService counts answers of another service.
	WrongService int
	// WrongAnswers counts answers to other requests, and changed ones.
	WrongAnswers int
	// Moved counts tokens that name another agent than the one before.
	Moved int
}

// NewStats returns empty counts.
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

// Latency returns a quantile, from 0 to 100, of the time from the moment at
// which a request was due to its whole answer.
func (s *Stats) Latency(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	return time.Duration(s.latency.ValueAtQuantile(q))
}

// FalseNotRun counts refusals as not run of requests that a target ran.
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

// Faults returns the first flows that broke.
func (s *Stats) Faults() []BrokenFlow {
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
