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
	mean time.Duration
	// requests holds when the request of each flow was passed on.
	requests map[segment.Key]time.Duration
}

// begin notes a request of a flow, or a copy of it.
func (w *work) begin(now time.Duration, k segment.Key) {
	if w.requests == nil {
		w.requests = map[segment.Key]time.Duration{}
	}
	if _, ok := w.requests[k]; !ok {
		w.requests[k] = now
	}
}

// end notes the answer to a flow's request, and returns how long it took. It
// returns false if none was in progress.
func (w *work) end(now time.Duration, k segment.Key) (time.Duration, bool) {
	asked, ok := w.requests[k]
	if !ok {
		return 0, false
	}
	delete(w.requests, k)
	took := now - asked
	if w.mean == 0 {
		w.mean = took
	}
	w.mean += time.Duration(answerShare * float64(took-w.mean))

	return took, true
}

// drop notes that a flow's request will have no answer.
func (w *work) drop(k segment.Key) {
	delete(w.requests, k)
}

// expire forgets the requests whose answer is long overdue.
func (w *work) expire(now time.Duration) {
	limit := max(leastLost, lostFactor*w.mean)
	for k, asked := range w.requests {
		if now-asked > limit {
			delete(w.requests, k)
		}
	}
}
