// Command ibisfold checks tickets and settings, explains and completes tickets,
// shows which ticket is in force at running processes, and prints from logs what was
// decided on a flow.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// output holds the writers of a command: results go to out, progress and errors to err.
type output struct {
	out io.Writer
	err io.Writer
}

// usageError prints why the arguments are wrong and returns the exit status for it.
func (o output) usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(o.err, "ibisfold: "+format+"\n", args...)

	return subcommands.ExitUsageError
}

// failure prints why a command failed and returns the exit status for it.
func (o output) failure(err error) subcommands.ExitStatus {
	fmt.Fprintf(o.err, "ibisfold: %v\n", err)

	return subcommands.ExitFailure
}

// run executes the command that args name and returns the exit status.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	return runCommand(ctx, newStatusCommand(output{
		out: out,
		err: errs,
	}), args)
}

// runCommand is like run but takes the status command, in which tests replace the clock
// and the calls to processes. All commands write to the output of the status command.
func runCommand(ctx context.Context, status *statusCommand, args []string) int {
	o := status.output
	f := flag.NewFlagSet("ibisfold", flag.ContinueOnError)
	f.SetOutput(o.err)
	c := subcommands.NewCommander(f, "ibisfold")
	c.Output = o.out
	c.Error = o.err
	f.Usage = func() {
		c.Explain(o.err)
	}

	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&checkCommand{output: o}, "tickets and settings")
	c.Register(&explainCommand{output: o}, "tickets and settings")
	c.Register(&completeCommand{output: o}, "tickets and settings")
	c.Register(status, "running processes")
	c.Register(&traceCommand{output: o}, "running processes")
	c.Register(&versionCommand{output: o}, "")
	if err := f.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}

	return int(c.Execute(ctx))
}
