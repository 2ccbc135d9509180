package opaque

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against measured times that are missing from the metrics, or that are recorded
// under the name of another measure.
func TestHistograms(t *testing.T) {
	is := is.New(t)
	p := New("entry-1")
	p.Histograms([]string{"flow_open", "owner_search"})[1].Update(0.02)
	out := bytes.Buffer{}
	p.Metrics.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), "ibisfold_owner_search_seconds_count 1"))
	is.True(!strings.Contains(out.String(), "flow_open"))
}

// Guards against a process that stops without announcing it, because its loop was busy or stood
// still for a second. Issue 39, FLOW.
func TestCallWaitsForLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New("test")
		l := Loop{
			Process:  p,
			TickTime: time.Second,
			Tick: func(bool) {
				time.Sleep(time.Minute)
			},
			Flush: func() {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(2 * time.Second)
			ran := false
			is.True(p.Call(func() {
				ran = true
			}))
			is.True(ran)
			cancel()
		}()
		is.NoErr(l.Run(ctx))
		is.True(!p.Call(func() {}))
	})
}
