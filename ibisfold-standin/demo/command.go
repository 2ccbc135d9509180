package demo

import (
	"context"
	"flag"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"ibisfold.example/ibisfold-standin/target"
)

const (
	// meanBurst is the mean number of requests that arrive at the same time.
	meanBurst = 3
	// idempotentShare is the share of idempotent requests.
	idempotentShare = 0.3
	// flowSkew makes the rates of flows unequal; see callers.Load.
	flowSkew = 0.5
	// flowsPerSlot is the default number of flows for each slot of a service.
	flowsPerSlot = 50
	// socketsPerLoad is the number of sockets that the flows of a load share.
	socketsPerLoad = 50
)

// Options are the options of a demo run.
type Options struct {
	Site string
	Seed uint64
	// Examples is the directory of the sites' examples, Bin that of the programs.
	Examples string
	Bin      string
	// Share is the share of all slots that the load uses, from 0 to 1.
	Share float64
	// Limit bounds the duration of the run.
	Limit time.Duration
	// Work is the mean service time of a request.
	Work time.Duration
	// Flows is the number of flows for each slot.
	Flows int
	// Footprint is the CSV file for the resource use of each process; empty for none.
	Footprint string
}

// Command is the demo subcommand.
type Command struct {
	options Options
}

// Name returns the subcommand's name.
func (*Command) Name() string { return "demo" }

// Synopsis describes the subcommand in one line.
func (*Command) Synopsis() string { return "run a site on loopback while tickets and faults change it" }

// Usage describes the subcommand.
func (*Command) Usage() string {
	return "demo --site eisweinruf --seed 1 --examples examples --bin bin\n"
}

// SetFlags declares the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Site, "site", "eisweinruf", "site: eisweinruf or ulaanbaatar")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of load, service times and network")
	f.StringVar(&c.options.Examples, "examples", "examples", "directory of the sites' examples")
	f.StringVar(&c.options.Bin, "bin", "bin", "directory of the programs")
	f.Float64Var(&c.options.Share, "share", 0.5, "part of all slots that the load uses")
	f.DurationVar(&c.options.Limit, "limit", 50*time.Second, "longest time of the run")
	f.DurationVar(&c.options.Work, "work", target.DefaultWork, "mean service time")
	f.StringVar(&c.options.Footprint, "footprint", "", "CSV file for processor time, memory and control bytes of each process")
	f.IntVar(&c.options.Flows, "flows", flowsPerSlot, "flows for each slot")
}

// Execute runs the site and prints the result.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := Run(ctx, c.options); err != nil {
		log.Error("demo failed", "err", err)
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}
