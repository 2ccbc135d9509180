package conntrack

import (
	"time"

	"ibisfold.example/core/segment"
)

const (
	// answerShare is the weight of an answer in the mean time of answers.
	answerShare = 1.0 / 16
	// lostFactor is how many times the mean time of answers a request counts as in
	// progress without one: a target that restarts drops its requests, and one whose
	// caller gave up may do so.
	lostFactor = 8
	// leastLost is the least such time.
	leastLost = 400 * time.Millisecond
)

// work holds the requests that a target works on, as seen from the packets that
// pass.
type work struct {
	// mean is the mean time of answers; zero before the first.
	mean     time.Duration
	requests map[segment.Key]request
	// progress is the number of requests that are not overdue.
	progress int
	// firsts is the number of those that are the first of their flow.
	firsts int
	// expected holds the flows whose SYN was passed on and whose request has not come,
	// with the time of the SYN.
	expected map[segment.Key]time.Duration
}

// request is a request that has no answer yet.
type request struct {
	asked time.Duration
	// overdue means that it no longer counts as in progress. Its answer still tells
	// how long answers take: of a target with a long queue all may be overdue.
	overdue bool
	// first means that it is the first request of its flow.
	first bool
}

// expect notes a flow that is about to bring a request.
func (w *work) expect(now time.Duration, k segment.Key) {
	if w.expected == nil {
		w.expected = map[segment.Key]time.Duration{}
	}
	w.expected[k] = now
}

// met notes that a flow's request has come, here or at another target.
func (w *work) met(k segment.Key) {
	delete(w.expected, k)
}

// begin notes a request of a flow, or a copy of it.
func (w *work) begin(now time.Duration, k segment.Key) {
	_, first := w.expected[k]
	w.met(k)
	if w.requests == nil {
		w.requests = map[segment.Key]request{}
	}
	if r, ok := w.requests[k]; ok && !r.overdue {
		return
	}
	w.requests[k] = request{
		asked: now,
		first: first,
	}
	w.count(first, 1)
}

// end notes the answer to a flow's request, and returns how long it took. It
// returns false if none was asked for.
func (w *work) end(now time.Duration, k segment.Key) (time.Duration, bool) {
	r, ok := w.requests[k]
	if !ok {
		return 0, false
	}
	w.drop(k)
	took := now - r.asked
	if w.mean == 0 {
		w.mean = took
	}
	w.mean += time.Duration(answerShare * float64(took-w.mean))

	return took, true
}

// drop notes that a flow's request will have no answer.
func (w *work) drop(k segment.Key) {
	w.met(k)
	r, ok := w.requests[k]
	if !ok {
		return
	}
	delete(w.requests, k)
	if !r.overdue {
		w.count(r.first, -1)
	}
}

// count adds n to the requests in progress.
func (w *work) count(first bool, n int) {
	w.progress += n
	if first {
		w.firsts += n
	}
}

// expireExpected forgets the flows that have brought no request within d.
func (w *work) expireExpected(now, d time.Duration) {
	for k, at := range w.expected {
		if now-at > d {
			w.met(k)
		}
	}
}

// expire sets aside the requests whose answer is long overdue.
func (w *work) expire(now time.Duration) {
	limit := max(leastLost, lostFactor*w.mean)
	for k, r := range w.requests {
		if !r.overdue && now-r.asked > limit {
			r.overdue = true
			w.requests[k] = r
			w.count(r.first, -1)
		}
	}
}
