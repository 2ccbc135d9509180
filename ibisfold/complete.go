package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/google/subcommands"
	"github.com/juju/errors"

	"ibisfold.example/core/document"
	"ibisfold.example/core/ticket"
)

// errNotComplete is returned if the merged state can't be encoded as one complete ticket.
const errNotComplete = errors.ConstError("the merged state is not a valid complete ticket")

// completeCommand prints a complete ticket of the state that tickets add up to.
type completeCommand struct {
	output
}

// Name returns the name of the command.
func (*completeCommand) Name() string { return "complete" }

// Synopsis describes the command in one line.
func (*completeCommand) Synopsis() string { return "print the complete ticket that tickets add up to" }

// Usage describes the command with an example.
func (*completeCommand) Usage() string {
	return `ibisfold complete FILE...

Merges the tickets and prints a complete ticket of the same state with the next
number. Everything with a lower number that a complete ticket does not list is
removed, so give all tickets that are in force.

Example:
  ibisfold complete examples/eisweinruf/tickets/000[1-6]*.yaml > 0007-complete.yaml
`
}

// SetFlags adds no flags.
func (*completeCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the complete ticket.
func (c *completeCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names, err := positional(f)
	if err != nil || len(names) == 0 {
		return c.usageError("complete needs at least one ticket; see `ibisfold help complete`")
	}
	tickets, err := readTickets(c.err, names)
	if err != nil {
		return c.failure(err)
	}

	text, err := encodeComplete(merge(tickets))
	if err != nil {
		for _, p := range document.Problems(err) {
			printProblem(c.err, "complete ticket", p)
		}

		return c.failure(err)
	}
	fmt.Fprintf(c.out, "%s", text)

	return subcommands.ExitSuccess
}

func merge(tickets []*ticket.Ticket) *ticket.State {
	s := &ticket.State{}
	for _, t := range tickets {
		s.Merge(t)
	}

	return s
}

// encodeComplete encodes a state as a complete ticket with the next number. Error:
// errNotComplete.
func encodeComplete(s *ticket.State) ([]byte, error) {
	t := &ticket.Ticket{
		Number:   s.Highest() + 1,
		Reason:   fmt.Sprintf("whole state after ticket %d", s.Highest()),
		Complete: true,
		Zones:    presentValues(s.Zones),
		Services: presentValues(s.Services),
		Targets:  presentValues(s.Targets),
	}
	text, err := yaml.MarshalWithOptions(t, yaml.IndentSequence(true))
	if err != nil {
		return nil, errors.Trace(err)
	}

	// Decoding the text reveals references to missing objects and values that the
	// encoding changed.
	decoded, err := ticket.Parse(text)
	if err != nil {
		return nil, errors.WithType(err, errNotComplete)
	}
	if !sameState(s, merge([]*ticket.Ticket{decoded})) {
		return nil, errors.Annotate(errNotComplete, "encoding changed a value")
	}

	return text, nil
}

// presentValues returns the objects that are not removed, sorted by name.
func presentValues[T any](m map[string]ticket.Object[T]) []T {
	l := []T{}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		if !m[n].Removed {
			l = append(l, m[n].Value)
		}
	}

	return l
}
