package agent

// windowBits is how many request numbers a window covers, from the highest one
// down.
const windowBits = 64

// window records which request numbers of a flow were received, to detect
// duplicates.
type window struct {
	highest uint64
	// seen has bit i set if highest-i was seen.
	seen uint64
}

type seenState uint8

const (
	unseen seenState = iota
	seenBefore
	// belowWindow means that the number is too old to be in the window.
	belowWindow
)

func (w *window) check(n uint64) seenState {
	if n > w.highest {
		return unseen
	}
	d := w.highest - n
	if d >= windowBits {
		return belowWindow
	}
	if w.seen&(1<<d) != 0 {
		return seenBefore
	}

	return unseen
}

// mark records that n was received. n must not be below the window.
func (w *window) mark(n uint64) {
	if n <= w.highest {
		w.seen |= 1 << (w.highest - n)
		return
	}

	d := n - w.highest
	if d >= windowBits {
		w.seen = 0
	} else {
		w.seen <<= d
	}
	w.seen |= 1
	w.highest = n
}

// wideWindowBits is how many offer numbers a wideWindow covers.
const wideWindowBits = 4096

// wideWindow is a window of offer numbers. It is wider than window because the
// offers of all flows of an owner share one sequence of numbers.
type wideWindow struct {
	highest uint64
	bits    [wideWindowBits / 64]uint64
}

func (w *wideWindow) check(n uint64) seenState {
	if n > w.highest {
		return unseen
	}
	if w.highest-n >= wideWindowBits {
		return belowWindow
	}
	if w.bits[n/64%uint64(len(w.bits))]&(1<<(n%64)) != 0 {
		return seenBefore
	}

	return unseen
}

// mark records that n was received. n must not be below the window.
func (w *wideWindow) mark(n uint64) {
	if n > w.highest {
		w.advance(n)
	}
	w.bits[n/64%uint64(len(w.bits))] |= 1 << (n % 64)
}

func (w *wideWindow) advance(n uint64) {
	if n-w.highest >= wideWindowBits {
		clear(w.bits[:])
	} else {
		for i := w.highest + 1; i <= n; i++ {
			w.bits[i/64%uint64(len(w.bits))] &^= 1 << (i % 64)
		}
	}
	w.highest = n
}
