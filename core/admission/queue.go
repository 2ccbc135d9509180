package admission

import (
	"iter"
	"slices"
	"time"
)

const (
	// DefaultQueueMax is the maximum number of waiting requests per tenant if
	// MaxPerTenant is zero.
	DefaultQueueMax = 64
)

// Queue holds waiting requests and serves them by deficit round robin over the
// tenants. A tenant that had nothing waiting is served once before the others, so
// that a tenant below its share waits for one free slot instead of a whole round.
// The number of waiting requests is bounded per tenant, and requests whose
// deadline has passed are not served. The zero value is empty and ready to use.
type Queue[T any] struct {
	// MaxPerTenant is the maximum number of waiting requests per tenant; zero
	// means DefaultQueueMax.
	MaxPerTenant int
	// LongestWait is the maximum estimated wait, in mean service times, with which
	// a request is queued. One that would wait longer is refused. Zero means that
	// only the deadline counts. See docs/decisions/0012-longest-wait.md.
	LongestWait int
	// Cost returns how many units of its tenant's share a request uses; nil means
	// one for each.
	Cost func(v T) int

	tenants map[string]*tenantQueue[T]
	// newTenants lists the tenants in their first turn, which are served first,
	// and oldTenants the others. The first tenant of a list is served next. A
	// tenant whose queue becomes empty is removed only at its next turn in
	// oldTenants, so it can't be new more than once in a round.
	newTenants []*tenantQueue[T]
	oldTenants []*tenantQueue[T]
	expired    []T
	length     int
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
		q.newTenants = append(q.newTenants, t)
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

// Pop removes and returns the request that is served next; the second result is
// false if none is left. Requests whose deadline has passed are skipped; Expired
// returns them.
func (q *Queue[T]) Pop(now time.Duration) (T, bool) {
	for len(q.tenants) > 0 {
		current := q.current()
		t := (*current)[0]
		q.expireHead(t, now)
		if len(t.waiting) == 0 {
			q.removeEmpty(current)
			continue
		}
		c := q.cost(t.waiting[0].value)
		if t.deficit < c {
			t.deficit++
			q.endTurn(current)
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

// Expired removes and returns the requests whose deadline has passed, including
// those that Pop skipped.
func (q *Queue[T]) Expired(now time.Duration) []T {
	for t := range q.all() {
		q.delete(t, func(w waiting[T]) bool {
			if w.pastDeadline(now) {
				q.expired = append(q.expired, w.value)
			}

			return w.pastDeadline(now)
		})
	}
	e := q.expired
	q.expired = nil

	return e
}

// Remove removes all requests that match and returns their number.
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

// EstimateWait estimates how long a request behind all waiting ones waits for one
// of the slots if the mean service time is mean.
func (q *Queue[T]) EstimateWait(slots int, mean time.Duration) time.Duration {
	return time.Duration(q.length+1) * mean / time.Duration(max(1, slots))
}

// Ahead returns the number of waiting requests that are served before the next
// request of a tenant. Round robin serves from each other tenant at most as many
// as it serves from this one, and no more than wait there. It is 0 for a tenant
// that has nothing waiting.
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

// EstimateTenantWait is EstimateWait for the next request of one tenant.
func (q *Queue[T]) EstimateTenantWait(tenant string, slots int, mean time.Duration) time.Duration {
	return time.Duration(q.Ahead(tenant)+1) * mean / time.Duration(max(1, slots))
}

// ShouldRefuse reports whether the next request of a tenant should be refused at
// once, because it can't be answered in the remaining time or would wait longer
// than LongestWait. The duration is the estimated wait, for the RetryAfter of
// the refusal.
func (q *Queue[T]) ShouldRefuse(tenant string, slots int, mean, remaining time.Duration) (time.Duration, bool) {
	w := q.EstimateTenantWait(tenant, slots, mean)

	return w, w+mean > remaining || q.LongestWait > 0 && w > time.Duration(q.LongestWait)*mean
}

// AcceptsOffer reports whether to accept a request of a tenant that a peer
// offers: it would get a slot at once or be the first in line for one, or the
// owner's queue is longer in proportion to its limit and the tenant has nothing
// waiting here.
func (q *Queue[T]) AcceptsOffer(tenant string, own, owner Load) bool {
	if own.acceptsOffer() {
		return true
	}
	t, ok := q.tenants[tenant]

	return owner.Waiting*own.Limit > own.Waiting*owner.Limit && (!ok || len(t.waiting) == 0)
}

// HasLongestQueue reports whether the tenant has requests in the queue and no
// other tenant has more. Its requests would find the same queue at the peers, so
// they aren't worth offering.
func (q *Queue[T]) HasLongestQueue(tenant string) bool {
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
	if q.MaxPerTenant <= 0 {
		return DefaultQueueMax
	}

	return q.MaxPerTenant
}

func (q *Queue[T]) cost(v T) int {
	if q.Cost == nil {
		return 1
	}

	return max(1, q.Cost(v))
}

// expireHead moves the requests at the head of a tenant's queue whose deadline
// has passed to q.expired.
func (q *Queue[T]) expireHead(t *tenantQueue[T], now time.Duration) {
	n := 0
	for n < len(t.waiting) && t.waiting[n].pastDeadline(now) {
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
		for _, l := range [][]*tenantQueue[T]{q.newTenants, q.oldTenants} {
			for _, t := range l {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// current returns the list whose first tenant is served next.
func (q *Queue[T]) current() *[]*tenantQueue[T] {
	if len(q.newTenants) > 0 {
		return &q.newTenants
	}

	return &q.oldTenants
}

// endTurn moves the first tenant of a list to the end of oldTenants.
func (q *Queue[T]) endTurn(list *[]*tenantQueue[T]) {
	t := (*list)[0]
	*list = (*list)[1:]
	q.oldTenants = append(q.oldTenants, t)
}

// removeEmpty removes the first tenant of a list, which has nothing waiting. A
// new tenant is moved to oldTenants instead and takes a turn there first.
func (q *Queue[T]) removeEmpty(list *[]*tenantQueue[T]) {
	if list == &q.newTenants {
		q.endTurn(list)
		return
	}
	delete(q.tenants, (*list)[0].name)
	*list = (*list)[1:]
}

func (w waiting[T]) pastDeadline(now time.Duration) bool {
	return w.deadline != 0 && now >= w.deadline
}
