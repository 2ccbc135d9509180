package relay

import (
	"context"
	"flag"
	"net/netip"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
)

// Command runs a relay until it is interrupted.
type Command struct {
	listen string
	to     string
}

// Name returns the subcommand's name.
func (*Command) Name() string { return "relay" }

// Synopsis describes the subcommand in one line.
func (*Command) Synopsis() string { return "relay datagrams in batches, the baseline of an entry" }

// Usage describes the subcommand.
func (*Command) Usage() string {
	return "relay --listen 127.0.0.1:7000 --to 127.0.0.1:7100\n"
}

// SetFlags declares the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "address to read from")
	f.StringVar(&c.to, "to", "127.0.0.1:7100", "address to send to")
}

// Execute relays until ctx is done.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		log.Error("relay failed", "err", err)
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) error {
	listen, err := netip.ParseAddrPort(c.listen)
	if err != nil {
		return err
	}
	to, err := netip.ParseAddrPort(c.to)
	if err != nil {
		return err
	}
	r, err := New(listen, to)
	if err != nil {
		return err
	}

	return r.Run(ctx)
}
