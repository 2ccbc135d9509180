package admission

import (
	"slices"
	"time"
)

// DefaultQueueMax is the number of waiting requests per tenant if Max is zero.
const DefaultQueueMax = 64

// Queue holds waiting requests and serves them by deficit round robin over
// tenants. It is bounded per tenant and by deadline. The zero value is empty.
type Queue[T any] struct {
	// Max is the number of requests that may wait per tenant; zero means
	// DefaultQueueMax.
	Max int
	// Cost is the share of service that a request uses; nil means 1 for each.
	Cost func(v T) int

	tenants map[string]*tenantQueue[T]
	// round lists the tenants with waiting requests; the first one is served next.
	round   []*tenantQueue[T]
	expired []T
	length  int
}

type tenantQueue[T any] struct {
	name    string
	deficit int
	waiting []waiting[T]
}

type waiting[T any] struct {
	deadline time.Duration
	value    T
}

// Push adds a request of a tenant. A deadline of zero means none. It returns
// false if the tenant's queue is full.
func (q *Queue[T]) Push(tenant string, deadline time.Duration, v T) bool {
	t, ok := q.tenants[tenant]
	if !ok {
		t = &tenantQueue[T]{
			name: tenant,
		}
		if q.tenants == nil {
			q.tenants = map[string]*tenantQueue[T]{}
		}
		q.tenants[tenant] = t
		q.round = append(q.round, t)
	}
	if len(t.waiting) >= q.max() {
		return false
	}

	t.waiting = append(t.waiting, waiting[T]{
		deadline: deadline,
		value:    v,
	})
	q.length++

	return true
}

// Pop removes the request that is served next. Requests whose deadline has
// passed are skipped; Expired returns them.
func (q *Queue[T]) Pop(now time.Duration) (T, bool) {
	for len(q.round) > 0 {
		t := q.round[0]
		q.expireHead(t, now)
		if len(t.waiting) == 0 {
			q.drop(t)
			continue
		}
		c := q.cost(t.waiting[0].value)
		if t.deficit < c {
			t.deficit++
			q.round = append(q.round[1:], t)
			continue
		}

		v := t.waiting[0].value
		t.deficit -= c
		t.waiting = slices.Delete(t.waiting, 0, 1)
		q.length--
		if len(t.waiting) == 0 {
			q.drop(t)
		}

		return v, true
	}

	var zero T

	return zero, false
}

// Expired removes and returns the requests whose deadline has passed.
func (q *Queue[T]) Expired(now time.Duration) []T {
	for _, t := range slices.Clone(q.round) {
		t.waiting = slices.DeleteFunc(t.waiting, func(w waiting[T]) bool {
			if !w.passed(now) {
				return false
			}
			q.expired = append(q.expired, w.value)
			q.length--

			return true
		})
		if len(t.waiting) == 0 {
			q.drop(t)
		}
	}
	e := q.expired
	q.expired = nil

	return e
}

// Remove removes all requests that match and returns how many there were.
func (q *Queue[T]) Remove(match func(T) bool) int {
	n := 0
	for _, t := range slices.Clone(q.round) {
		t.waiting = slices.DeleteFunc(t.waiting, func(w waiting[T]) bool {
			if !match(w.value) {
				return false
			}
			n++

			return true
		})
		if len(t.waiting) == 0 {
			q.drop(t)
		}
	}
	q.length -= n

	return n
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// Wait estimates how long a request behind all waiting ones waits for one of
// slots when a request takes mean.
func (q *Queue[T]) Wait(slots int, mean time.Duration) time.Duration {
	return time.Duration(q.length+1) * mean / time.Duration(max(1, slots))
}

// WaitOf is Wait for the next request of one tenant: round robin serves at most
// as many requests of each other tenant before it as that tenant has waiting.
func (q *Queue[T]) WaitOf(tenant string, slots int, mean time.Duration) time.Duration {
	own := 1
	if t, ok := q.tenants[tenant]; ok {
		own += len(t.waiting)
	}
	n := own
	for _, t := range q.round {
		if t.name != tenant {
			n += min(own, len(t.waiting))
		}
	}

	return time.Duration(n) * mean / time.Duration(max(1, slots))
}

func (q *Queue[T]) max() int {
	if q.Max <= 0 {
		return DefaultQueueMax
	}

	return q.Max
}

func (q *Queue[T]) cost(v T) int {
	if q.Cost == nil {
		return 1
	}

	return max(1, q.Cost(v))
}

func (q *Queue[T]) expireHead(t *tenantQueue[T], now time.Duration) {
	n := 0
	for n < len(t.waiting) && t.waiting[n].passed(now) {
		q.expired = append(q.expired, t.waiting[n].value)
		n++
	}
	t.waiting = slices.Delete(t.waiting, 0, n)
	q.length -= n
}

// drop forgets a tenant without waiting requests, and its deficit with it.
func (q *Queue[T]) drop(t *tenantQueue[T]) {
	delete(q.tenants, t.name)
	q.round = slices.DeleteFunc(q.round, func(o *tenantQueue[T]) bool {
		return o == t
	})
}

func (w waiting[T]) passed(now time.Duration) bool {
	return w.deadline != 0 && now >= w.deadline
}
