package conntrack

import (
	"time"

	"ibisfold.example/core/segment"
)

const (
	// answerTimeWeight is the weight of a new sample in the moving average of answer
	// times.
	answerTimeWeight = 1.0 / 16
	// overdueFactor is the multiple of the mean answer time after which an unanswered
	// request no longer counts as in progress: a target that restarts drops its requests,
	// and it may also drop one whose caller gave up.
	overdueFactor = 8
	// minOverdueTime is the lower bound of that time.
	minOverdueTime = 400 * time.Millisecond
)

// inflight tracks the requests that the target works on, as seen from the packets
// that pass.
type inflight struct {
	// meanAnswerTime is the moving average of answer times; zero before the first answer.
	meanAnswerTime time.Duration
	requests       map[segment.Key]request
	// inProgress is the number of requests that are not overdue.
	inProgress int
	// firstInProgress is the number of requests in progress that are the first of their
	// flow.
	firstInProgress int
	// expected holds the flows whose SYN was passed to the target and whose first request
	// has not arrived, with the time of the SYN.
	expected map[segment.Key]time.Duration
}

// request is a request that has no answer yet.
type request struct {
	sentAt time.Duration
	// overdue means that the request no longer counts as in progress. Its answer still
	// counts as a sample of the answer time, because in a long queue every request may be
	// overdue.
	overdue bool
	// first means that it is the first request of its flow.
	first bool
}

// expect records a flow whose first request is about to arrive.
func (f *inflight) expect(now time.Duration, k segment.Key) {
	if f.expected == nil {
		f.expected = map[segment.Key]time.Duration{}
	}
	f.expected[k] = now
}

// clearExpected records that a flow's request has arrived, here or at another target.
func (f *inflight) clearExpected(k segment.Key) {
	delete(f.expected, k)
}

// begin records a request of a flow. A retransmission of a request in progress changes
// nothing.
func (f *inflight) begin(now time.Duration, k segment.Key) {
	_, first := f.expected[k]
	f.clearExpected(k)
	if f.requests == nil {
		f.requests = map[segment.Key]request{}
	}
	if r, ok := f.requests[k]; ok && !r.overdue {
		return
	}
	f.requests[k] = request{
		sentAt: now,
		first:  first,
	}
	f.count(first, 1)
}

// end records the answer to a flow's request and returns how long it took. It returns
// false if no request was outstanding.
func (f *inflight) end(now time.Duration, k segment.Key) (time.Duration, bool) {
	r, ok := f.requests[k]
	if !ok {
		return 0, false
	}
	f.drop(k)
	took := now - r.sentAt
	if f.meanAnswerTime == 0 {
		f.meanAnswerTime = took
	}
	f.meanAnswerTime += time.Duration(answerTimeWeight * float64(took-f.meanAnswerTime))

	return took, true
}

// drop records that a flow's request will not be answered.
func (f *inflight) drop(k segment.Key) {
	f.clearExpected(k)
	r, ok := f.requests[k]
	if !ok {
		return
	}
	delete(f.requests, k)
	if !r.overdue {
		f.count(r.first, -1)
	}
}

// count adds n to the requests in progress.
func (f *inflight) count(first bool, n int) {
	f.inProgress += n
	if first {
		f.firstInProgress += n
	}
}

// expireExpected drops the expected flows that have brought no request within d.
func (f *inflight) expireExpected(now, d time.Duration) {
	for k, at := range f.expected {
		if now-at > d {
			f.clearExpected(k)
		}
	}
}

// expire marks as overdue the requests that have been unanswered for too long.
func (f *inflight) expire(now time.Duration) {
	limit := max(minOverdueTime, overdueFactor*f.meanAnswerTime)
	for k, r := range f.requests {
		if !r.overdue && now-r.sentAt > limit {
			r.overdue = true
			f.requests[k] = r
			f.count(r.first, -1)
		}
	}
}
