// Package program is the common main function of entries and agents. It parses the command
// line, selects the kind of traffic to serve, sets up the log and handles the signals that
// start a graceful shutdown.
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

// Process describes a program to Main. It has one function for each kind of traffic; Main
// calls RunOpaque if the flag -platform is set, and otherwise Run.
type Process struct {
	// Name is the prefix of the log lines.
	Name string
	// Run serves callers whose packets carry tokens. It receives the path of the settings
	// file and a context that is done on SIGTERM or SIGINT.
	Run func(term context.Context, path string, l *log.Logger) error
	// RunOpaque serves opaque flows on the users' platform, which tells the process where
	// its settings are. It receives the path of the policy file, which is empty if there
	// is none, and the same context as Run.
	RunOpaque func(term context.Context, policy string) error
}

// Main parses the command line and runs the process. If it fails, the program exits with
// status 1.
func Main(p Process) {
	path := flag.String("settings", "", "path of the settings file (YAML)")
	opaque := flag.Bool("platform", false, "serve opaque flows on the users' platform, with the settings that the platform provides")
	policy := flag.String("policy", "", "path of the policy file, with the thresholds of decisions on opaque flows (YAML); only with -platform")
	flag.Parse()

	ignoreHangups()
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

// ignoreHangups keeps SIGHUP from ending the process, which is what it does to one that has no handler
// for it. A process that watches its settings adds a handler of its own, later and not to the end.
func ignoreHangups() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

// timeFormat includes milliseconds, so that the log lines of several processes can be
// merged in order.
const timeFormat = "2006/01/02 15:04:05.000"

// NewLogger returns a logger that writes logfmt lines with name as their prefix.
func NewLogger(w io.Writer, name string) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		Formatter:       log.LogfmtFormatter,
		Prefix:          name,
	})
}
