package admission

import (
	"iter"
	"slices"
	"time"
)

const (
	// DefaultQueueMax is the number of waiting requests per tenant if Max is zero.
	DefaultQueueMax = 64
)

// Queue holds waiting requests and serves them by deficit round robin over
// tenants. A tenant that had nothing waiting is served once before the others,
// so a tenant below its share waits for one free slot and not for a round. It is
// bounded per tenant and by deadline. The zero value is empty.
type Queue[T any] struct {
	// Max is the number of requests that may wait per tenant; zero means
	// DefaultQueueMax.
	Max int
	// LongestWait is the estimated wait, in mean service times, above which a
	// request is refused instead of queued; zero means that only its deadline
	// counts. See docs/decisions/0012-longest-wait.md.
	LongestWait int
	// Cost is the share of service that a request uses; nil means 1 for each.
	Cost func(v T) int

	tenants map[string]*tenantQueue[T]
	// fresh lists the tenants in their first turn, which come first; round lists
	// the others. The first tenant of a list is served next. A tenant whose queue
	// became empty leaves at its next turn, so it can't be fresh more than once in
	// a round.
	fresh   []*tenantQueue[T]
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
			name:    tenant,
			deficit: 1,
		}
		if q.tenants == nil {
			q.tenants = map[string]*tenantQueue[T]{}
		}
		q.tenants[tenant] = t
		q.fresh = append(q.fresh, t)
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
	for len(q.tenants) > 0 {
		list := q.list()
		t := (*list)[0]
		q.expireHead(t, now)
		if len(t.waiting) == 0 {
			q.leave(list)
			continue
		}
		c := q.cost(t.waiting[0].value)
		if t.deficit < c {
			t.deficit++
			q.turn(list)
			continue
		}

		v := t.waiting[0].value
		t.deficit -= c
		t.waiting = slices.Delete(t.waiting, 0, 1)
		q.length--

		return v, true
	}

	var zero T

	return zero, false
}

// Expired removes and returns the requests whose deadline has passed.
func (q *Queue[T]) Expired(now time.Duration) []T {
	for t := range q.all() {
		q.delete(t, func(w waiting[T]) bool {
			if w.passed(now) {
				q.expired = append(q.expired, w.value)
			}

			return w.passed(now)
		})
	}
	e := q.expired
	q.expired = nil

	return e
}

// Remove removes all requests that match and returns how many there were.
func (q *Queue[T]) Remove(match func(T) bool) int {
	before := q.length
	for t := range q.all() {
		q.delete(t, func(w waiting[T]) bool {
			return match(w.value)
		})
	}

	return before - q.length
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

// Ahead is the number of waiting requests that are served before the next one of
// a tenant: round robin serves at most as many of each other tenant as that
// tenant has waiting.
func (q *Queue[T]) Ahead(tenant string) int {
	t, ok := q.tenants[tenant]
	if !ok || len(t.waiting) == 0 {
		return 0
	}
	n := len(t.waiting)
	for o := range q.all() {
		if o != t {
			n += min(len(t.waiting)+1, len(o.waiting))
		}
	}

	return n
}

// WaitOf is Wait for the next request of one tenant.
func (q *Queue[T]) WaitOf(tenant string, slots int, mean time.Duration) time.Duration {
	return time.Duration(q.Ahead(tenant)+1) * mean / time.Duration(max(1, slots))
}

// Refuse reports whether the next request of a tenant should be refused at once,
// because it can't be answered in the remaining time or would wait longer than
// LongestWait service times. The duration is the advised RetryAfter.
func (q *Queue[T]) Refuse(tenant string, slots int, mean, remaining time.Duration) (time.Duration, bool) {
	w := q.WaitOf(tenant, slots, mean)

	return w, w+mean > remaining || q.LongestWait > 0 && w > time.Duration(q.LongestWait)*mean
}

// Welcomes reports whether to accept a request of a tenant that a peer offers:
// a slot is free or next to free, or the owner's queue is longer and the tenant
// has nothing waiting here.
func (q *Queue[T]) Welcomes(tenant string, own, owner Load) bool {
	if own.welcomes() {
		return true
	}
	t, ok := q.tenants[tenant]

	return owner.Waiting*own.Limit > own.Waiting*owner.Limit && (!ok || len(t.waiting) == 0)
}

// Leads reports whether no other tenant has more requests waiting. Its requests
// would find the same queue at the peers and aren't worth offering.
func (q *Queue[T]) Leads(tenant string) bool {
	t, ok := q.tenants[tenant]
	if !ok {
		return false
	}
	for o := range q.all() {
		if len(o.waiting) > len(t.waiting) {
			return false
		}
	}

	return true
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

func (q *Queue[T]) delete(t *tenantQueue[T], match func(waiting[T]) bool) {
	before := len(t.waiting)
	t.waiting = slices.DeleteFunc(t.waiting, match)
	q.length -= before - len(t.waiting)
}

// all yields the tenants in the order of their turns.
func (q *Queue[T]) all() iter.Seq[*tenantQueue[T]] {
	return func(yield func(*tenantQueue[T]) bool) {
		for _, l := range [][]*tenantQueue[T]{q.fresh, q.round} {
			for _, t := range l {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// list is the list whose first tenant is served next.
func (q *Queue[T]) list() *[]*tenantQueue[T] {
	if len(q.fresh) > 0 {
		return &q.fresh
	}

	return &q.round
}

// turn ends the turn of the first tenant of a list.
func (q *Queue[T]) turn(list *[]*tenantQueue[T]) {
	t := (*list)[0]
	*list = (*list)[1:]
	q.round = append(q.round, t)
}

// leave forgets the first tenant of a list, which has nothing waiting. A fresh
// tenant goes through a round first.
func (q *Queue[T]) leave(list *[]*tenantQueue[T]) {
	if list == &q.fresh {
		q.turn(list)
		return
	}
	delete(q.tenants, (*list)[0].name)
	*list = (*list)[1:]
}

func (w waiting[T]) passed(now time.Duration) bool {
	return w.deadline != 0 && now >= w.deadline
}
