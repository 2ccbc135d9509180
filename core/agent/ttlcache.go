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
	// order lists the keys by the time of their put. A key whose serial is not
	// that of its value is left over from an earlier put.
	order []ttlKey[K]
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

// limit sets the lifetime of the entries and the bound on their total size.
func (c *ttlCache[K, V]) limit(life time.Duration, size int) {
	c.life = life
	c.max = size
}

func (c *ttlCache[K, V]) get(k K) (V, bool) {
	v, ok := c.values[k]

	return v.value, ok
}

// put adds or replaces an entry. An entry larger than the bound of the table is
// not kept.
func (c *ttlCache[K, V]) put(now time.Duration, k K, v V, size int) {
	c.remove(k)
	if size > c.max {
		return
	}
	if c.values == nil {
		c.values = map[K]ttlValue[V]{}
	}

	c.serial++
	c.values[k] = ttlValue[V]{
		value:  v,
		size:   size,
		serial: c.serial,
	}
	c.order = append(c.order, ttlKey[K]{
		key:    k,
		serial: c.serial,
		until:  now + c.life,
	})
	c.size += size
	for c.size > c.max {
		c.dropOldest()
	}
}

// replace changes the value of an entry and keeps its expiry time.
func (c *ttlCache[K, V]) replace(k K, v V) {
	o, ok := c.values[k]
	if !ok {
		return
	}
	o.value = v
	c.values[k] = o
}

func (c *ttlCache[K, V]) remove(k K) {
	v, ok := c.values[k]
	if !ok {
		return
	}
	delete(c.values, k)
	c.size -= v.size
}

func (c *ttlCache[K, V]) expire(now time.Duration) {
	for c.head < len(c.order) && c.order[c.head].until <= now {
		c.dropOldest()
	}
}

func (c *ttlCache[K, V]) dropOldest() {
	o := c.order[c.head]
	c.head++
	if v, ok := c.values[o.key]; ok && v.serial == o.serial {
		c.remove(o.key)
	}
	c.compact()
}

// compact moves the live part of order to its start once half of it is unused.
func (c *ttlCache[K, V]) compact() {
	if c.head < 64 || c.head*2 < len(c.order) {
		return
	}
	n := copy(c.order, c.order[c.head:])
	clear(c.order[n:])
	c.order = c.order[:n]
	c.head = 0
}
