// Command ibisfold-entry takes callers' packets from the fabric and sends each
// to the agent that owns its flow. It keeps no state of flows.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"ibisfold.example/core/settings"
)

func main() {
	path := flag.String("settings", "", "file with the entry's settings (YAML)")
	flag.Parse()

	l := log.NewWithOptions(os.Stderr, log.Options{
		ReportTimestamp: true,
		Formatter:       log.LogfmtFormatter,
		Prefix:          "ibisfold-entry",
	})
	if err := run(*path, l); err != nil {
		l.Error("process failed", "error", err)
		os.Exit(1)
	}
}

func run(path string, l *log.Logger) error {
	s := settings.Entry{}
	if err := settings.Load(path, &s); err != nil {
		return err
	}
	p, err := newProcess(s, l)
	if err != nil {
		return err
	}

	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	return p.run(term)
}
