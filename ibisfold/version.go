package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"
)

// versionCommand prints the version of the program.
type versionCommand struct {
	output
}

// Name returns the name of the command.
func (*versionCommand) Name() string { return "version" }

// Synopsis describes the command in one line.
func (*versionCommand) Synopsis() string { return "print the version of this program" }

// Usage describes the command with an example.
func (*versionCommand) Usage() string {
	return `ibisfold version

Prints the source revision from which this program was built.

Example:
  ibisfold version
`
}

// SetFlags adds no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the version.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	revision := "unknown revision"
	changed := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " with local changes"
			}
		}
	}
	fmt.Fprintf(c.out, "ibisfold %s%s, %s\n", revision, changed, runtime.Version())

	return subcommands.ExitSuccess
}
