package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const entryLog = `12.1 entry-1 time="2026/01/24 09:36:01.100" level=info prefix=entry-1 msg="flow placed" flow=100.64.0.7:40001>198.18.0.1:443 agent=10.1.0.13:7720 count=1
12.2 entry-1 time="2026/01/24 09:36:01.200" level=info prefix=entry-1 msg="flow placed" flow=100.64.0.8:40001>198.18.0.1:443 agent=10.1.0.14:7720 count=1
12.4 entry-1 time="2026/01/24 09:36:01.400" level=info prefix=entry-1 msg="agent silent" flow=0.0.0.0:0>0.0.0.0:0 agent=10.1.0.13:7720 count=4
12.5 entry-1 time="2026/01/24 09:36:01.500" level=info prefix=entry-1 msg="agent silent" flow=0.0.0.0:0>0.0.0.0:0 agent=10.1.0.99:7720 count=4
not a line of ibisfold
12.6 entry-1 time="2026/01/24 09:36:01.600" level=info prefix=entry-1 msg="flow reset: owner gone" flow=100.64.0.7:40001>198.18.0.1:443 agent=10.1.0.13:7720
`

const agentLog = `time="2026/01/24 09:36:00.000" level=info prefix=side-1 msg="agent started" relay=10.1.0.13:7720
time="2026/01/24 09:36:01.300" level=info prefix=side-1 msg="target down" flow=0.0.0.0:0>0.0.0.0:0 count=3
time="2026/01/24 09:36:00.000" level=info prefix=side-2 msg="agent started" relay=10.1.0.14:7720
`

// Guards against a trace without the lines on which a decision was based, such as an
// agent that became silent, and against one with lines of other flows and agents.
func TestTrace(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	entry := filepath.Join(dir, "entry.log")
	agent := filepath.Join(dir, "agent.log")
	is.NoErr(os.WriteFile(entry, []byte(entryLog), 0o600))
	is.NoErr(os.WriteFile(agent, []byte(agentLog), 0o600))

	out := bytes.Buffer{}
	errs := bytes.Buffer{}
	is.Equal(run(context.Background(), []string{"trace", "100.64.0.7:40001>", entry, agent}, &out, &errs), 0)
	want := []string{"agent started", "flow placed", "target down", "agent silent", "flow reset"}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), len(want))
	for i, w := range want {
		is.True(strings.Contains(lines[i], w))
	}
}

// Guards against exit status 0 with no output for an unknown flow, which would look like
// a flow without problems.
func TestTraceUnknownFlow(t *testing.T) {
	is := is.New(t)
	entry := filepath.Join(t.TempDir(), "entry.log")
	is.NoErr(os.WriteFile(entry, []byte(entryLog), 0o600))
	out := bytes.Buffer{}
	is.True(run(context.Background(), []string{"trace", "100.64.9.9:1>", entry}, &out, &out) != 0)
}
