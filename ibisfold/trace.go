package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/google/subcommands"
	"github.com/juju/errors"
)

// traceCommand prints the lines of collected logs that concern a flow.
type traceCommand struct {
	output
}

// Name returns the name of the command.
func (*traceCommand) Name() string { return "trace" }

// Synopsis describes the command in one line.
func (*traceCommand) Synopsis() string {
	return "show from logs what was decided on a flow, and why"
}

// Usage describes the command with an example.
func (*traceCommand) Usage() string {
	return `ibisfold trace FLOW FILE...

Prints, in order of time, the lines of the logs that concern a flow: decisions on
it, and what the processes believed of the agents and targets that these name.
FLOW is CALLER>SERVICE, such as 100.64.0.7:40001>198.18.0.1:443; a part of it
selects all flows that contain it. A file named - is standard input. What stands
before the first field of a line, such as the collector's time stamp, is kept.

Example:
  ibisfold trace '100.64.0.7:40001>' entry.log agent.log

`
}

// SetFlags sets no flags.
func (*traceCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the lines.
func (c *traceCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 || f.Arg(0) == "" {
		return c.usageError("trace needs a flow and logs; see `ibisfold help trace`")
	}
	lines := []logLine{}
	for _, name := range f.Args()[1:] {
		read, err := readLog(name)
		if err != nil {
			return c.failure(err)
		}
		lines = append(lines, read...)
	}
	matches := traceFlow(lines, f.Arg(0))
	if len(matches) == 0 {
		return c.failure(errors.NotFoundf("flow %s in these logs", f.Arg(0)))
	}
	for _, l := range matches {
		fmt.Fprintln(c.out, l.text)
	}

	return subcommands.ExitSuccess
}

// logLine is a line of a log with the fields that a trace selects by.
type logLine struct {
	text   string
	time   string
	prefix string
	flow   string
	// agent is the address of the agent that a line of an entry names.
	agent string
	// relay is the address that a process logs when it starts. That of an agent is the
	// address under which entries name it.
	relay string
	msg   string
}

func readLog(name string) ([]logLine, error) {
	if name == "-" {
		return decodeLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()

	return decodeLog(f)
}

// firstField is how the fields of each line of the processes begin. A log collector may
// have put text before it.
const firstField = "time="

// maxLogBytes bounds the bytes that are read of a log. It covers a day of one process
// at the maximum rate of lines.
const maxLogBytes = 4 << 30

// decodeLog returns the lines of the processes; it skips those of other programs.
func decodeLog(r io.Reader) ([]logLine, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxLogBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	lines := []logLine{}
	for text := range strings.Lines(string(b)) {
		text = strings.TrimRight(text, "\r\n")
		i := strings.Index(text, firstField)
		if i < 0 {
			continue
		}
		if l, ok := decodeLine(text, text[i:]); ok {
			lines = append(lines, l)
		}
	}

	return lines, nil
}

func decodeLine(text, fields string) (logLine, bool) {
	l := logLine{
		text: text,
	}
	d := logfmt.NewDecoder(strings.NewReader(fields))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		v := string(d.Value())
		switch string(d.Key()) {
		case "time":
			l.time = v
		case "prefix":
			l.prefix = v
		case "flow":
			l.flow = v
		case "agent":
			l.agent = v
		case "relay":
			l.relay = v
		case "msg":
			l.msg = v
		}
	}

	return l, d.Err() == nil
}

// traceFlow returns the lines of all flows that contain the text flow, in order of time,
// and the lines that may explain them. A line may explain them if it concerns no flow, comes
// from a process that logged a line of the flows or from an agent that such a line names, and
// names no agent but those.
func traceFlow(lines []logLine, flow string) []logLine {
	agents := map[string]bool{}
	processes := map[string]bool{}
	for _, l := range lines {
		if isFlow(l.flow) && strings.Contains(l.flow, flow) {
			agents[l.agent] = true
			processes[l.prefix] = true
		}
	}
	delete(agents, "")
	for _, l := range lines {
		if agents[l.relay] {
			processes[l.prefix] = true
		}
	}

	matches := []logLine{}
	for _, l := range lines {
		switch {
		case isFlow(l.flow) && strings.Contains(l.flow, flow):
		case !isFlow(l.flow) && processes[l.prefix] && (l.agent == "" || agents[l.agent]):
		default:
			continue
		}
		matches = append(matches, l)
	}
	slices.SortStableFunc(matches, func(a, b logLine) int {
		return cmp.Compare(a.time, b.time)
	})
	if len(processes) == 0 {
		return nil
	}

	return matches
}

// noFlow is the value of the field flow in lines that concern no flow.
const noFlow = "0.0.0.0:0>0.0.0.0:0"

func isFlow(flow string) bool {
	return flow != "" && flow != noFlow
}
