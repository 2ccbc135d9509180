package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/google/subcommands"

	"ibisfold.example/core/document"
	"ibisfold.example/core/ticket"
)

// checkCommand reports every problem of tickets and settings.
type checkCommand struct {
	output
}

// Name returns the name of the command.
func (*checkCommand) Name() string { return "check" }

// Synopsis describes the command in one line.
func (*checkCommand) Synopsis() string { return "report every problem of tickets and settings" }

// Usage describes the command with an example.
func (*checkCommand) Usage() string {
	return `ibisfold check FILE...

Reports every problem of the files, one per line, as file:line: field: reason.
Tickets are also checked against each other in the order of their numbers, so
give all tickets since number 1 or since the last complete ticket. Lines with
"warning:" do not make a file invalid.

Exit status: 0 if all files are valid, 1 if not, 2 for wrong arguments.

Example:
  ibisfold check examples/eisweinruf/tickets/*.yaml
`
}

// SetFlags adds no flags.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute checks the files.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names, err := positional(f)
	if err != nil || len(names) == 0 {
		return c.usageError("check needs at least one file; see `ibisfold help check`")
	}

	files := []file{}
	sources := []ticket.Source{}
	for _, n := range names {
		r := readFile(n)
		files = append(files, r)
		if r.kind == kindTicket && len(r.problems) == 0 {
			sources = append(sources, r.source)
		}
	}
	// An invalid ticket would only cause further problems in the comparison.
	if !slices.ContainsFunc(files, isInvalidTicket) {
		addFindings(files, ticket.CheckHistory(sources))
	}

	return c.report(files)
}

func isInvalidTicket(f file) bool {
	return f.kind == kindTicket && len(f.problems) > 0
}

func addFindings(files []file, findings []ticket.Finding) {
	for _, n := range findings {
		i := slices.IndexFunc(files, func(f file) bool {
			return f.name == n.File
		})
		files[i].problems = append(files[i].problems, n.Problem)
	}
}

func (c *checkCommand) report(files []file) subcommands.ExitStatus {
	invalid := 0
	for _, f := range files {
		slices.SortStableFunc(f.problems, func(a, b document.Problem) int {
			return cmp.Compare(a.Line, b.Line)
		})
		for _, p := range f.problems {
			printProblem(c.out, f.name, p)
		}
		if slices.ContainsFunc(f.problems, isError) {
			invalid++
		}
	}
	if invalid > 0 {
		fmt.Fprintf(c.err, "%d of %d files are not valid\n", invalid, len(files))

		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

func isError(p document.Problem) bool {
	return !p.Warning
}
