package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/admission"
)

// Guards against a tenant with many waiting requests that delays the others.
func TestQueueServesTenantsEqually(t *testing.T) {
	is := is.New(t)
	q := &admission.Queue[string]{}
	for range 60 {
		q.Push("big", 0, "big")
	}
	for range 5 {
		q.Push("small", 0, "small")
		q.Push("other", 0, "other")
	}
	count := map[string]int{}
	for range 15 {
		v, ok := q.Pop(0)
		is.True(ok)
		count[v]++
	}
	is.Equal(count, map[string]int{
		"big":   5,
		"small": 5,
		"other": 5,
	})
}

// Guards against a tenant below its share that waits for a whole round.
func TestQueueServesNewTenantFirst(t *testing.T) {
	is := is.New(t)
	q := &admission.Queue[string]{}
	for _, n := range []string{"a", "b", "c"} {
		for range 9 {
			q.Push(n, 0, n)
		}
	}
	for range 6 {
		q.Pop(0)
	}
	is.Equal(q.Ahead("fresh"), 0)
	q.Push("fresh", 0, "fresh")
	v, _ := q.Pop(0)
	is.Equal(v, "fresh")
}

// Guards against a tenant that gains service by keeping its queue short.
func TestQueueLimitsNewTenantToItsShare(t *testing.T) {
	is := is.New(t)
	q := &admission.Queue[string]{}
	count := map[string]int{}
	for range 3000 {
		q.Push("a", 0, "a")
		q.Push("b", 0, "b")
		if q.Ahead("sly") == 0 {
			q.Push("sly", 0, "sly")
		}
		v, _ := q.Pop(0)
		count[v]++
	}
	is.True(count["sly"] <= 1100)
	is.True(count["a"] >= 900)
}

// Guards against costly requests that take more than their tenant's share.
func TestQueueCountsCost(t *testing.T) {
	is := is.New(t)
	q := &admission.Queue[int]{
		Cost: func(v int) int { return v },
	}
	for range 60 {
		q.Push("costly", 0, 3)
		q.Push("cheap", 0, 1)
	}
	sum := map[int]int{}
	for range 40 {
		v, _ := q.Pop(0)
		sum[v] += v
	}
	is.True(sum[3] <= sum[1]+3)
	is.True(sum[1] <= sum[3]+3)
}

// Guards against unbounded queues, requests that are served or lost after their
// deadline, and wrong lengths.
func TestQueueBoundsAndExpiry(t *testing.T) {
	is := is.New(t)
	q := &admission.Queue[int]{
		MaxPerTenant: 3,
	}
	for i, d := range []time.Duration{1, 5, 0} {
		is.True(q.Push("a", d*time.Second, i))
	}
	is.True(!q.Push("a", 0, 3))
	is.True(q.Push("b", time.Second, 4))
	v, ok := q.Pop(2 * time.Second)
	is.True(ok)
	is.Equal(v, 1)
	is.Equal(len(q.Expired(2*time.Second)), 2)
	is.Equal(q.Expired(2*time.Second), nil)
	is.Equal(q.Len(), 1)
	is.Equal(q.Remove(func(v int) bool { return v == 2 }), 1)
	is.Equal(q.Len(), 0)
	_, ok = q.Pop(0)
	is.True(!ok)
}

// Guards against queueing requests that can't be answered in time.
func TestQueueRefusesEarly(t *testing.T) {
	is := is.New(t)
	q := &admission.Queue[int]{
		LongestWait: 5,
	}
	for i := range 6 {
		q.Push("a", 0, i)
	}
	is.Equal(q.EstimateWait(7, serviceTime), serviceTime)
	_, refuse := q.ShouldRefuse("a", 7, serviceTime, 2*serviceTime)
	is.True(!refuse)
	_, refuse = q.ShouldRefuse("a", 7, serviceTime, serviceTime)
	is.True(refuse)
	w, refuse := q.ShouldRefuse("a", 1, serviceTime, time.Minute)
	is.True(refuse)
	is.Equal(w, 7*serviceTime)
	_, refuse = q.ShouldRefuse("b", 1, serviceTime, time.Minute)
	is.True(!refuse)

	q.LongestWait = 0
	_, refuse = q.ShouldRefuse("a", 1, serviceTime, time.Minute)
	is.True(!refuse)
	_, refuse = q.ShouldRefuse("a", 1, serviceTime, 7*serviceTime)
	is.True(refuse)
}
