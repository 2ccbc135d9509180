package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against numbers that a window forgets or wrongly reports as received,
// with a plain map as the model.
func TestWindows(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	is := is.New(t)
	narrow := window{}
	wide := wideWindow{}
	check := func(got seenState, seen map[uint64]bool, n, highest, width uint64) {
		switch {
		case n <= highest && highest-n >= width:
			is.Equal(got, belowWindow)
		case seen[n]:
			is.Equal(got, seenBefore)
		default:
			is.Equal(got, unseen)
		}
	}
	a := map[uint64]bool{}
	b := map[uint64]bool{}
	base := uint64(1)
	for range 20000 {
		base += r.Uint64N(40)
		if r.IntN(500) == 0 {
			base += r.Uint64N(2 * wideWindowBits)
		}
		n := base - min(base-1, r.Uint64N(200))
		check(narrow.check(n), a, n, narrow.highest, windowBits)
		check(wide.check(n), b, n, wide.highest, wideWindowBits)
		if narrow.check(n) != belowWindow {
			narrow.mark(n)
			a[n] = true
		}
		if wide.check(n) != belowWindow {
			wide.mark(n)
			b[n] = true
		}
	}
}

// Guards against entries that outlive their time or exceed the size of the
// cache, and against a replaced entry that expires with its older value.
func TestTTLCache(t *testing.T) {
	is := is.New(t)
	c := ttlCache[int, string]{}
	c.limit(10*time.Second, 10)
	c.put(0, 1, "a", 4)
	c.put(5*time.Second, 1, "b", 4)
	c.put(6*time.Second, 2, "c", 4)
	c.expire(10 * time.Second)
	v, ok := c.get(1)
	is.True(ok)
	is.Equal(v, "b")
	c.put(7*time.Second, 3, "d", 4)
	_, ok = c.get(1)
	is.True(!ok)
	is.Equal(c.size, 8)
	c.put(7*time.Second, 4, "too large", 11)
	is.Equal(c.size, 8)
	c.expire(17 * time.Second)
	is.Equal(len(c.values), 0)
	is.Equal(c.size, 0)
}
