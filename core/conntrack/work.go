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
}

// request is a request that has no answer yet.
type request struct {
	asked time.Duration
	// overdue means that it no longer counts as in progress. Its answer still tells
	// how long answers take: of a target with a long queue all may be overdue.
	overdue bool
}

// begin notes a request of a flow, or a copy of it.
func (w *work) begin(now time.Duration, k segment.Key) {
	if w.requests == nil {
		w.requests = map[segment.Key]request{}
	}
	if r, ok := w.requests[k]; ok && !r.overdue {
		return
	}
	w.requests[k] = request{
		asked: now,
	}
	w.progress++
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
	r, ok := w.requests[k]
	if !ok {
		return
	}
	delete(w.requests, k)
	if !r.overdue {
		w.progress--
	}
}

// expire sets aside the requests whose answer is long overdue.
func (w *work) expire(now time.Duration) {
	limit := max(leastLost, lostFactor*w.mean)
	for k, r := range w.requests {
		if !r.overdue && now-r.asked > limit {
			r.overdue = true
			w.requests[k] = r
			w.progress--
		}
	}
}
