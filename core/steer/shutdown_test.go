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
	s := Shutdown{
		Began:   time.Second,
		MaxTime: 5 * time.Second,
	}
	noticed := s.Began + routerDetectionTime
	is.True(!s.Done(noticed-1, 0))
	is.True(s.Done(noticed, noticed-quietPeriod))
	is.True(!s.Done(noticed, noticed-quietPeriod+1))
	end := s.Began + s.MaxTime
	is.True(!s.Done(end-1, end-1))
	is.True(s.Done(end, end))
	is.True(quietPeriod >= DefaultPolicy().ResendTime)
}
