// Package program is the common frame of the system's processes: command line,
// log and the signals that start a graceful shutdown.
package program

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// Process is what a program runs.
type Process struct {
	// Name prefixes the lines of the log.
	Name string
	// Run serves callers that carry tokens. It gets the path of the settings and a
	// context that is done at SIGTERM or SIGINT.
	Run func(term context.Context, path string, l *log.Logger) error
	// RunOpaque serves opaque flows on the users' platform, which tells the process
	// where its settings are. It gets the path of a policy file, empty for none.
	RunOpaque func(term context.Context, policy string) error
}

// Main runs a process and ends the program with status 1 if it fails.
func Main(p Process) {
	path := flag.String("settings", "", "file with the settings of the process (YAML)")
	opaque := flag.Bool("platform", false, "serve opaque flows on the users' platform, with the settings that it gives")
	policy := flag.String("policy", "", "file with the thresholds of decisions on opaque flows (YAML); only with -platform")
	flag.Parse()

	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l := NewLogger(os.Stderr, p.Name)
	run := func() error {
		return p.Run(term, *path, l)
	}
	if *opaque {
		run = func() error {
			return p.RunOpaque(term, *policy)
		}
	}
	if err := run(); err != nil {
		l.Error("process failed", "error", err)
		os.Exit(1)
	}
}

// timeFormat has milliseconds, so that lines of several processes can be put in order.
const timeFormat = "2006/01/02 15:04:05.000"

// NewLogger returns a logger of structured lines.
func NewLogger(w io.Writer, name string) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		Formatter:       log.LogfmtFormatter,
		Prefix:          name,
	})
}
