package config

import (
	"context"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
)

// Command runs a configuration service with the tickets of a directory.
type Command struct {
	listen string
	dir    string
}

// Name returns the subcommand's name.
func (*Command) Name() string { return "config" }

// Synopsis describes the subcommand in one line.
func (*Command) Synopsis() string { return "serve tickets like the configuration service" }

// Usage describes the subcommand.
func (*Command) Usage() string {
	return "config --listen 127.0.0.1:8500 --dir DIR\n"
}

// SetFlags declares the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:8500", "HTTP address")
	f.StringVar(&c.dir, "dir", "", "directory of ticket files")
}

// Execute loads the tickets and serves until ctx is done.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s := &Server{
		Store: &Store{},
		VMs:   &VMs{},
	}
	if c.dir != "" {
		if err := s.Store.LoadDir(c.dir); err != nil {
			log.Error("cannot load tickets", "err", err)
			return subcommands.ExitFailure
		}
	}
	if err := s.Run(ctx, c.listen); err != nil {
		log.Error("configuration service ended", "err", err)
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

// Run listens on a TCP address and serves until ctx is done.
func (s *Server) Run(ctx context.Context, listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}

	return s.Serve(ctx, l)
}

// Serve serves on l until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	const headerTimeout = 5 * time.Second

	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context {
			return ctx
		},
	}
	stop := context.AfterFunc(ctx, func() {
		_ = h.Close()
	})
	defer stop()

	if err := h.Serve(l); err != http.ErrServerClosed {
		return err
	}

	return nil
}
