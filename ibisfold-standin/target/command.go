package target

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
)

// Command runs one target until it is interrupted.
type Command struct {
	listen  string
	service string
	address string
	options Options
}

// Name returns the subcommand's name.
func (*Command) Name() string { return "target" }

// Synopsis describes the subcommand in one line.
func (*Command) Synopsis() string { return "run a target" }

// Usage describes the subcommand.
func (*Command) Usage() string {
	return "target --listen 127.1.1.11:7200 --name rufdienst-1 --service rufdienst --address 127.3.0.1:80 --slots 2\n"
}

// SetFlags declares the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7200", "UDP address")
	f.StringVar(&c.options.Name, "name", "target-1", "name of the target")
	f.StringVar(&c.service, "service", "service", "name of the service")
	f.StringVar(&c.address, "address", "127.3.0.1:80", "address of the service")
	f.IntVar(&c.options.Slots, "slots", 2, "requests that run at a time")
	f.DurationVar(&c.options.Work, "work", DefaultWork, "mean service time")
	f.DurationVar(&c.options.WarmUp, "warm-up", DefaultWarmUp, "length of a cold start")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of service times")
}

// Execute runs the target until ctx is done.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listen, err := netip.ParseAddrPort(c.listen)
	if err != nil {
		log.Error("bad address", "err", err)
		return subcommands.ExitUsageError
	}
	address, err := netip.ParseAddrPort(c.address)
	if err != nil {
		log.Error("bad address", "err", err)
		return subcommands.ExitUsageError
	}
	t, err := Listen(listen, time.Now(), c.options)
	if err != nil {
		log.Error("cannot listen", "err", err)
		return subcommands.ExitFailure
	}
	defer t.Close()

	t.Serve(0, c.service, []netip.AddrPort{address})
	<-ctx.Done()

	return subcommands.ExitSuccess
}
