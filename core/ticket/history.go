package ticket

import (
	"cmp"
	"net/netip"
	"slices"

	"ibisfold.example/core/document"
)

// Source is a ticket that was read from a file.
type Source struct {
	// File is the file name to report in findings.
	File   string
	Ticket *Ticket
	// Document locates the ticket's fields.
	Document *document.Document
}

// Finding is a problem in one file.
type Finding struct {
	File    string
	Problem document.Problem
}

// CheckHistory checks tickets that are each valid on their own against each
// other, in the order of their numbers. It checks references between tickets if
// there are several, or if the only one is complete or number 1. A single later
// ticket may refer to objects of earlier tickets that were not given.
func CheckHistory(sources []Source) []Finding {
	sources = slices.Clone(sources)
	slices.SortFunc(sources, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Ticket.Number, b.Ticket.Number), cmp.Compare(a.File, b.File))
	})

	h := &historyChecker{
		knownIssues: map[issueKey]bool{},
	}
	references := len(sources) > 1 || len(sources) == 1 && startsHistory(sources[0].Ticket)
	for i, s := range sources {
		h.source = s
		if i > 0 && sources[i-1].Ticket.Number == s.Ticket.Number {
			h.add("Ticket", document.CodeReusedNumber, false, "number %d is also used by %s", s.Ticket.Number, sources[i-1].File)
		}
		h.warnSize()
		if references {
			h.merge()
		}
	}

	return h.findings
}

// startsHistory reports whether t cannot refer to objects of earlier tickets.
func startsHistory(t *Ticket) bool {
	return t.Complete || t.Number == 1
}

// historyChecker merges tickets one after the other and collects the findings.
type historyChecker struct {
	state State
	// source is the ticket that is being checked.
	source   Source
	findings []Finding
	// knownIssues holds the issues of the state before the current ticket, which
	// are not reported again.
	knownIssues map[issueKey]bool
}

func (h *historyChecker) add(path string, code document.Code, warning bool, format string, args ...any) {
	c := document.NewChecker(h.source.Document, nil)
	c.Add(path, code, format, args...)
	for _, p := range c.Problems() {
		p.Warning = warning
		h.findings = append(h.findings, Finding{
			File:    h.source.File,
			Problem: p,
		})
	}
}

// warnSize warns of a ticket that is too large to spread quickly.
func (h *historyChecker) warnSize() {
	t := h.source.Ticket
	if n := CompressedBytes(t.Text); n > MaxFastCompressedBytes {
		h.add("", document.CodeSlowTicket, true,
			"ticket has %d bytes compressed; above %d it will not be in force everywhere within 13 s", n, MaxFastCompressedBytes)
	}
}

// merge merges the current ticket into the state and reports the issues that it
// causes.
func (h *historyChecker) merge() {
	h.warnRemoved()
	h.state.Merge(h.source.Ticket)

	current := map[issueKey]bool{}
	for _, i := range issues(&h.state) {
		current[i.key] = true
		if h.knownIssues[i.key] {
			continue
		}
		h.add(h.issuePath(i), i.code, false, "%s", i.reason)
	}
	h.knownIssues = current
}

// warnRemoved warns of removals of objects that do not exist.
func (h *historyChecker) warnRemoved() {
	for i, r := range h.source.Ticket.Removed {
		kind, name := r.object()
		if !exists(&h.state, kind, name) {
			h.add(document.Path("Removed", i, kind), document.CodeUnknownObject, true, "no earlier ticket declares %s %q", kind, name)
		}
	}
}

// exists reports whether the state has an object of this kind and name.
func exists(s *State, kind, name string) bool {
	switch kind {
	case "Zone":
		return isLive(s.Zones, name)
	case "Service":
		return isLive(s.Services, name)
	default:
		return isLive(s.Targets, name)
	}
}

// isLive reports whether m holds the named object and not only its tombstone.
func isLive[T any](m map[string]Object[T], name string) bool {
	o, ok := m[name]

	return ok && !o.Removed
}

// issuePath returns the path of the field that an issue concerns. If the current
// ticket does not list the object, it is the path of the ticket number.
func (h *historyChecker) issuePath(i issue) string {
	t := h.source.Ticket
	if i.key.kind == "Service" {
		for k, v := range t.Services {
			if v.Name == i.key.name {
				return servicePath(k, v, i)
			}
		}

		return "Ticket"
	}
	for k, v := range t.Targets {
		if v.Name == i.key.name {
			return document.Path("Targets", k, i.key.field)
		}
	}

	return "Ticket"
}

// servicePath returns the path of the conflicting address of v, the service with
// index k, or the path of its name if the issue is not about an address.
func servicePath(k int, v Service, i issue) string {
	n := slices.Index(v.Addresses, i.address)
	if n < 0 {
		return document.Path("Services", k, "Name")
	}

	return document.Path(document.Path("Services", k, "Addresses"), n, "")
}

// issueKey identifies an issue across the states of a history.
type issueKey struct {
	// kind and name identify the object, and field the part of it that the issue
	// concerns.
	kind  string
	name  string
	field string
	// detail tells apart issues of the same field.
	detail string
}

// issue is an inconsistency between the objects of a state.
type issue struct {
	key    issueKey
	code   document.Code
	reason string
	// address is set for a service address with two owners.
	address netip.AddrPort
}
