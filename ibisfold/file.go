package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/juju/errors"

	"ibisfold.example/core/document"
	"ibisfold.example/core/settings"
	"ibisfold.example/core/ticket"
)

// errInvalidFile is returned for a file with problems.
const errInvalidFile = errors.ConstError("file is not valid")

// fileKind is the kind of document that a file contains.
type fileKind int

const (
	kindUnknown fileKind = iota
	kindTicket
	kindEntry
	kindAgent
)

// ticketKeys are the top-level keys that occur only in tickets.
var ticketKeys = []string{"Ticket", "Complete", "Zones", "Services", "Targets", "Removed"}

// kindOf tells tickets and the settings of entries and agents apart by their top-level
// keys.
func kindOf(keys []string) fileKind {
	has := func(k string) bool {
		return slices.Contains(keys, k)
	}

	switch {
	case slices.ContainsFunc(ticketKeys, has):
		return kindTicket
	case has("Callers") || has("Threads"):
		return kindEntry
	case has("Name") || has("Target"):
		return kindAgent
	default:
		return kindUnknown
	}
}

// file is a file that has been read and checked, without regard to other files.
type file struct {
	name     string
	kind     fileKind
	problems []document.Problem
	// source is set for tickets without problems.
	source ticket.Source
	// process is set for settings without problems.
	process *settings.Process
}

// readFile reads and checks one file. Its problems include an error of reading it.
func readFile(name string) file {
	f := file{
		name: name,
	}
	text, err := readText(name)
	if err != nil {
		f.problems = []document.Problem{{
			Line:   1,
			Reason: err.Error(),
		}}

		return f
	}

	d, problems := document.Parse(text)
	if d == nil {
		f.problems = problems

		return f
	}
	f.kind = kindOf(d.Keys())
	f.decode(text)

	return f
}

// readText reads a file up to one byte more than a document may have. That is enough
// for the parser to report a document that is too long.
func readText(name string) ([]byte, error) {
	r, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = r.Close() }()

	return io.ReadAll(io.LimitReader(r, document.MaxBytes+1))
}

func (f *file) decode(text []byte) {
	switch f.kind {
	case kindTicket:
		t, d, problems := ticket.Read(text)
		f.problems = problems
		f.source = ticket.Source{
			File:     f.name,
			Ticket:   t,
			Document: d,
		}
	case kindEntry:
		v := &settings.Entry{}
		f.problems = document.Problems(settings.Parse(text, v))
		f.process = &v.Process
	case kindAgent:
		v := &settings.Agent{}
		f.problems = document.Problems(settings.Parse(text, v))
		f.process = &v.Process
	default:
		f.problems = []document.Problem{{
			Line:   1,
			Reason: "neither a ticket (key Ticket) nor settings of an entry (Callers) or agent (Name, Target)",
			Code:   document.CodeUnknownDocument,
		}}
	}
}

// printProblem writes one problem as file:line: field: reason.
func printProblem(w io.Writer, name string, p document.Problem) {
	if p.Warning {
		p.Reason = "warning: " + p.Reason
	}
	fmt.Fprintf(w, "%s:%v\n", name, p)
}

// readTickets reads tickets, each of which must be valid without regard to the others.
// It prints their problems to w. Error: errInvalidFile.
func readTickets(w io.Writer, names []string) ([]*ticket.Ticket, error) {
	l := []*ticket.Ticket{}
	valid := true
	for _, n := range names {
		f := readFile(n)
		if f.kind != kindTicket && len(f.problems) == 0 {
			f.problems = []document.Problem{{
				Line:   1,
				Reason: "settings instead of a ticket",
			}}
		}
		for _, p := range f.problems {
			printProblem(w, n, p)
			valid = false
		}
		l = append(l, f.source.Ticket)
	}
	if !valid {
		return nil, errInvalidFile
	}

	return l, nil
}
