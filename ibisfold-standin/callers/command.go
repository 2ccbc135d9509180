package callers

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
)

// Command runs the callers of one service for a given time.
type Command struct {
	entries string
	address string
	time    time.Duration
	load    Load
	options Options
}

// Name returns the subcommand's name.
func (*Command) Name() string { return "callers" }

// Synopsis describes the subcommand in one line.
func (*Command) Synopsis() string { return "send open-loop requests on long flows" }

// Usage describes the subcommand.
func (*Command) Usage() string {
	return "callers --entries 127.1.1.1:7000,127.1.2.1:7000 --service rufdienst --address 127.3.0.1:80\n"
}

// SetFlags declares the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "", "addresses of the entries, separated by commas")
	f.StringVar(&c.address, "address", "127.3.0.1:80", "address of the service")
	f.DurationVar(&c.time, "time", 10*time.Second, "length of the load")
	f.StringVar(&c.load.Tenant, "tenant", "tenant", "name of the tenant")
	f.StringVar(&c.load.Service, "service", "service", "name of the service")
	f.IntVar(&c.load.Flows, "flows", 100, "number of flows")
	f.Float64Var(&c.load.Rate, "rate", 100, "requests per second")
	f.IntVar(&c.load.Burst, "burst", 1, "mean size of bursts")
	f.Float64Var(&c.load.Idempotent, "idempotent", 0, "share of idempotent requests")
	f.Float64Var(&c.load.Skew, "skew", 0, "inequality of flows")
	f.DurationVar(&c.load.Deadline, "deadline", DefaultDeadline, "time that a request has")
	f.DurationVar(&c.options.Delay, "delay", 0, "one-way delay to the entries")
	f.IntVar(&c.options.Sockets, "sockets", 0, "sockets that the flows share; 0 for one each")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of arrivals")
}

// Execute runs the load and prints its counts and latencies.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		log.Error("callers failed", "err", err)
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) error {
	e := &Entries{}
	for s := range strings.SplitSeq(c.entries, ",") {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return err
		}
		e.Add(a)
	}
	a, err := netip.ParseAddrPort(c.address)
	if err != nil {
		return err
	}
	c.load.Address = a
	c.options.Entries = e
	c.options.Loads = []Load{c.load}

	g := New(c.options)
	defer g.Close()
	ctx, stop := context.WithTimeout(ctx, c.time)
	defer stop()
	if err := g.Open(ctx); err != nil {
		return err
	}
	g.Run(ctx)
	g.CloseFlows()
	fmt.Printf("%+v\np50=%v p99=%v\n", g.Stats(0).Counts(), g.Stats(0).Latency(50), g.Stats(0).Latency(99))

	return nil
}
