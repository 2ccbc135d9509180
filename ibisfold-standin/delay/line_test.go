package delay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLineOrder guards against packets that overtake each other on a link
// whose delay is the same for all.
func TestLineOrder(t *testing.T) {
	is := is.New(t)
	l := NewLine()
	defer l.Close()

	const n = 100
	got := make(chan int, n)
	for i := range n {
		l.After(time.Millisecond, func() { got <- i })
	}
	for i := range n {
		is.Equal(<-got, i)
	}
}
