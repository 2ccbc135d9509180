package ceiling

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Command computes the ceilings of the outages that files describe.
type Command struct{}

// Name implements subcommands.Command.
func (*Command) Name() string { return "ceiling" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "work out what perfect knowledge could serve after an outage"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "ceiling FILE...\n" }

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "ceiling: no file given")

		return subcommands.ExitUsageError
	}
	for _, path := range f.Args() {
		o, err := Load(path)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, err)

			return subcommands.ExitFailure
		}
		fmt.Printf("%s\n\n| from | asked | in time | late | lost | worth |\n|---|---|---|---|---|---|\n", path)
		for _, w := range o.Schedule() {
			fmt.Printf("| %v | %d | %d | %d | %d | %.3f |\n", w.From, w.Asked, w.InTime, w.Late, w.Lost, w.Worth)
		}
		fmt.Println()
	}

	return subcommands.ExitSuccess
}
