package agent

import "time"

// ttlCache is a table whose entries live for a fixed time and whose total size
// is bounded; beyond the bound the oldest entries are evicted.
type ttlCache[K comparable, V any] struct {
	life   time.Duration
	max    int
	size   int
	serial uint64
	values map[K]ttlValue[V]
	order  []ttlKey[K]
	// head is the index of the oldest entry in order.
	head int
}

type ttlValue[V any] struct {
	value  V
	size   int
	serial uint64
}

type ttlKey[K comparable] struct {
	key    K
	serial uint64
	until  time.Duration
}

func (r *ttlCache[K, V]) limit(life time.Duration, size int) {
	r.life = life
	r.max = size
}

func (r *ttlCache[K, V]) get(k K) (V, bool) {
	v, ok := r.values[k]

	return v.value, ok
}

// put adds or replaces an entry. An entry larger than the bound of the table is
// not kept.
func (r *ttlCache[K, V]) put(now time.Duration, k K, v V, size int) {
	r.remove(k)
	if size > r.max {
		return
	}
	if r.values == nil {
		r.values = map[K]ttlValue[V]{}
	}

	r.serial++
	r.values[k] = ttlValue[V]{
		value:  v,
		size:   size,
		serial: r.serial,
	}
	r.order = append(r.order, ttlKey[K]{
		key:    k,
		serial: r.serial,
		until:  now + r.life,
	})
	r.size += size
	for r.size > r.max {
		r.dropOldest()
	}
}

// replace changes the value of an entry and keeps its expiry time.
func (r *ttlCache[K, V]) replace(k K, v V) {
	o, ok := r.values[k]
	if !ok {
		return
	}
	o.value = v
	r.values[k] = o
}

func (r *ttlCache[K, V]) remove(k K) {
	v, ok := r.values[k]
	if !ok {
		return
	}
	delete(r.values, k)
	r.size -= v.size
}

func (r *ttlCache[K, V]) expire(now time.Duration) {
	for r.head < len(r.order) && r.order[r.head].until <= now {
		r.dropOldest()
	}
}

func (r *ttlCache[K, V]) dropOldest() {
	o := r.order[r.head]
	r.head++
	if v, ok := r.values[o.key]; ok && v.serial == o.serial {
		r.remove(o.key)
	}
	r.compact()
}

// compact moves the live part of order to its start once half of it is unused.
func (r *ttlCache[K, V]) compact() {
	if r.head < 64 || r.head*2 < len(r.order) {
		return
	}
	n := copy(r.order, r.order[r.head:])
	clear(r.order[n:])
	r.order = r.order[:n]
	r.head = 0
}
