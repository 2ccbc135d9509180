package experiment

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
)

// Command returns the subcommand that runs the experiments and writes their results as CSV
// files and plots.
func Command() subcommands.Command {
	return &command{}
}

// command holds the values of the flags.
type command struct {
	seed uint64
	out  string
	only string
}

// Name implements subcommands.Command.
func (*command) Name() string { return "experiment" }

// Synopsis implements subcommands.Command.
func (*command) Synopsis() string {
	return "compare admission and balance with other policies in a simulation"
}

// Usage implements subcommands.Command.
func (*command) Usage() string {
	return "experiment [--seed N] [--out DIR] [--only NAME,...]\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of all random choices")
	f.StringVar(&c.out, "out", "docs/experiments", "directory for CSV files and plots")
	f.StringVar(&c.only, "only", "", "comma-separated names of experiments; empty runs all")
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for _, e := range All() {
		if c.only != "" && !slices.Contains(strings.Split(c.only, ","), e.Name) {
			continue
		}
		if ctx.Err() != nil {
			return subcommands.ExitFailure
		}
		r := e.Run(c.seed)
		fmt.Printf("## %s (seed %d)\n\n%s\n", e.Name, c.seed, r.Markdown())
		if err := r.Write(c.out); err != nil {
			fmt.Fprintln(os.Stderr, err)

			return subcommands.ExitFailure
		}
	}

	return subcommands.ExitSuccess
}
