package opaque

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that ends because of one datagram, and against one that goes on although
// it can't handle any.
func TestPanicsAreBounded(t *testing.T) {
	is := is.New(t)
	p := New("test")
	for range maxPanics {
		p.RecordPanic("error")
	}
	is.Equal(p.Panics.Get(), uint64(maxPanics))
	defer func() {
		is.Equal(recover(), "error")
	}()
	p.RecordPanic("error")
	t.Error("the process goes on")
}

// Guards against a process that ends because of a few panics in each hour.
func TestPanicLimitForgets(t *testing.T) {
	is := is.New(t)
	l := panicLimit{}
	for i := range 10 * maxPanics {
		is.True(!l.exceeded(time.Duration(i) * panicPeriod / maxPanics))
	}
}
