package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an entry that ends while routers still send packets to it, and against one
// that waits for so long that it is killed.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	l := Shutdown{
		Began:   time.Second,
		MaxTime: 5 * time.Second,
	}
	noticed := l.Began + routerDetectionTime
	is.True(!l.Done(noticed-1, 0))
	is.True(l.Done(noticed, noticed-quietPeriod))
	is.True(!l.Done(noticed, noticed-quietPeriod+1))
	end := l.Began + l.MaxTime
	is.True(!l.Done(end-1, end-1))
	is.True(l.Done(end, end))
	is.True(quietPeriod >= DefaultPolicy().ResendTime)
}
