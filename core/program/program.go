// Package program is the common frame of the system's processes: command line,
// log and the signals that start a graceful shutdown.
package program

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// Main runs a process and ends the program with status 1 if it fails. Run gets
// the path of the settings and a context that is done at SIGTERM or SIGINT.
func Main(name string, run func(term context.Context, path string, l *log.Logger) error) {
	path := flag.String("settings", "", "file with the settings of the process (YAML)")
	flag.Parse()

	l := log.NewWithOptions(os.Stderr, log.Options{
		ReportTimestamp: true,
		Formatter:       log.LogfmtFormatter,
		Prefix:          name,
	})
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(term, *path, l); err != nil {
		l.Error("process failed", "error", err)
		os.Exit(1)
	}
}
