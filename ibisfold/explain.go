package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"ibisfold.example/core/ticket"
)

// explainCommand prints what a ticket changes.
type explainCommand struct {
	output
	against stringList
}

// Name returns the name of the command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis describes the command in one line.
func (*explainCommand) Synopsis() string {
	return "say what a ticket changes and which flows it gives up"
}

// Usage describes the command with an example.
func (*explainCommand) Usage() string {
	return `ibisfold explain FILE --against FILE...

Says what the ticket in the first file changes in the state that the other
tickets add up to: zones, services, addresses and targets, and which flows it
gives up. Without --against the state before is empty.

Example:
  ibisfold explain examples/eisweinruf/tickets/0004-zone-out.yaml \
    --against examples/eisweinruf/tickets/000[1-3]*.yaml

`
}

// SetFlags adds --against.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.against, "against", "ticket that is in force before; may be repeated, further files count too")
}

// Execute explains the ticket.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names, err := positional(f)
	if err != nil || len(names) == 0 {
		return c.usageError("explain needs a ticket; see `ibisfold help explain`")
	}
	// A shell expands a pattern after --against to several arguments; all but the first
	// become positional arguments after the ticket.
	before, err := readTickets(c.err, append(c.against, names[1:]...))
	if err != nil {
		return c.failure(err)
	}
	next, err := readTickets(c.err, names[:1])
	if err != nil {
		return c.failure(err)
	}

	c.explain(before, next[0])

	return subcommands.ExitSuccess
}

func (c *explainCommand) explain(before []*ticket.Ticket, t *ticket.Ticket) {
	e := &explanation{
		before: merge(before),
		after:  merge(before),
	}
	e.after.Merge(t)

	fmt.Fprintf(c.out, "Ticket %d: %s\n", t.Number, t.Reason)
	switch {
	case t.Number < e.before.Floor.Number:
		fmt.Fprintf(c.out, "Has no effect: complete ticket %d is in force.\n", e.before.Floor.Number)

		return
	case t.Number <= e.before.Highest():
		fmt.Fprintf(c.out, "Ticket %d is in force already; it keeps the objects that it wrote.\n", e.before.Highest())
	}
	for _, s := range e.sections() {
		s.print(c.out)
	}
}
