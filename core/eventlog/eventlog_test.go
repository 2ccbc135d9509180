package eventlog

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a log that blocks its caller or writes an unbounded number of lines, and
// against dropped lines that are not reported.
func TestLinesAreBounded(t *testing.T) {
	is := is.New(t)
	out := bytes.Buffer{}
	l := New(&out, "entry-1")
	for range 10 * maxBurstLines {
		l.Info("decision", "count", 1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(l.Run(ctx))

	lines := strings.Count(out.String(), "decision")
	is.True(lines >= maxBurstLines)
	is.True(lines < 2*maxBurstLines)
	is.True(strings.Contains(out.String(), "lines left out"))
}

// Guards against lines that are not in the format that tools parse.
func TestFields(t *testing.T) {
	is := is.New(t)
	out := bytes.Buffer{}
	l := New(&out, "entry-1")
	l.Info("flow placed", "flow", "a>b", "count", 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(l.Run(ctx))
	is.True(strings.Contains(out.String(), `prefix=entry-1 msg="flow placed" flow=a>b count=2`))
}
