package delay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLineOrder guards against functions with equal delays that run out of order, which would
// reorder the packets of a simulated link.
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
