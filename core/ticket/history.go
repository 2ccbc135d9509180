package ticket

import (
	"cmp"
	"net/netip"
	"slices"

	"ibisfold.example/core/document"
)

// Source is a ticket that was read from a file.
type Source struct {
	// File is the name that findings carry.
	File     string
	Ticket   *Ticket
	Document *document.Document
}

// Finding is a problem of one file.
type Finding struct {
	File    string
	Problem document.Problem
}

// CheckHistory checks tickets, each valid by itself, against each other in the
// order of their numbers. References to objects of other tickets are checked
// if there are several tickets, or if the only one is complete or number 1:
// a single later ticket refers to tickets that are not at hand.
func CheckHistory(sources []Source) []Finding {
	sources = slices.Clone(sources)
	slices.SortFunc(sources, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Ticket.Number, b.Ticket.Number), cmp.Compare(a.File, b.File))
	})

	h := &history{
		known: map[issueKey]bool{},
	}
	references := len(sources) > 1 || len(sources) == 1 && startsHistory(sources[0].Ticket)
	for i, s := range sources {
		h.source = s
		if i > 0 && sources[i-1].Ticket.Number == s.Ticket.Number {
			h.add("Ticket", document.CodeReusedNumber, false, "number %d is also used by %s", s.Ticket.Number, sources[i-1].File)
		}
		h.warn()
		if references {
			h.merge()
		}
	}

	return h.findings
}

func startsHistory(t *Ticket) bool {
	return t.Complete || t.Number == 1
}

type history struct {
	state    State
	source   Source
	findings []Finding
	// known are the issues that an earlier ticket caused.
	known map[issueKey]bool
}

func (h *history) add(path string, code document.Code, warning bool, format string, args ...any) {
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

// warn reports what is legal but likely to be a mistake.
func (h *history) warn() {
	t := h.source.Ticket
	if n := CompressedBytes(t.Text); n > MaxFastBytes {
		h.add("", document.CodeSlowTicket, true,
			"ticket has %d bytes compressed; above %d it will not be in force everywhere within 13 s", n, MaxFastBytes)
	}
}

// merge adds the ticket to the state and reports the issues that it causes.
func (h *history) merge() {
	h.warnRemoved()
	h.state.Merge(h.source.Ticket)

	now := map[issueKey]bool{}
	for _, i := range issues(&h.state) {
		now[i.key] = true
		if h.known[i.key] {
			continue
		}
		h.add(h.place(i), i.code, false, "%s", i.reason)
	}
	h.known = now
}

func (h *history) warnRemoved() {
	for i, r := range h.source.Ticket.Removed {
		kind, name := r.object()
		if !exists(&h.state, kind, name) {
			h.add(document.Path("Removed", i, kind), document.CodeUnknownObject, true, "no earlier ticket declares %s %q", kind, name)
		}
	}
}

func exists(s *State, kind, name string) bool {
	switch kind {
	case "Zone":
		return live(s.Zones, name)
	case "Service":
		return live(s.Services, name)
	default:
		return live(s.Targets, name)
	}
}

func live[T any](m map[string]Object[T], name string) bool {
	o, ok := m[name]

	return ok && !o.Removed
}

// place returns the path of the field that an issue concerns, or that of the
// number if the ticket does not list the object.
func (h *history) place(i issue) string {
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

func servicePath(k int, v Service, i issue) string {
	n := slices.Index(v.Addresses, i.address)
	if n < 0 {
		return document.Path("Services", k, "Name")
	}

	return document.Path(document.Path("Services", k, "Addresses"), n, "")
}

// issueKey identifies an issue over several tickets.
type issueKey struct {
	kind   string
	name   string
	field  string
	detail string
}

// issue is a fault of a state.
type issue struct {
	key    issueKey
	code   document.Code
	reason string
	// address is set for an address with two owners.
	address netip.AddrPort
}
