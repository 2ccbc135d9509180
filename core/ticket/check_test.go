package ticket_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/document"
	"ibisfold.example/core/ticket"
)

// base is a valid complete ticket. Test cases replace one part of it.
const base = `Ticket: 1
Reason: start
Complete: true
Zones:
  - Name: a
  - Name: b
    InService: false
Services:
  - Name: s
    Tenant: t
    Addresses: [127.3.0.1:80, 127.3.0.2:80]
  - Name: u
    Tenant: t
    Addresses: [127.3.0.3:80]
Targets:
  - Name: s-1
    Service: s
    Zone: a
    Agent: 127.2.1.11:7100
    Slots: 2
    Connections: 2000
  - Name: u-1
    Service: u
    Zone: a
    Agent: 127.2.1.12:7100
    Slots: 2
    Connections: 2000
    State: InService
Removed:
  - Target: s-9
`

// Guards against an invalid ticket that is accepted, which every node would then
// keep indefinitely, or that is reported at the wrong place.
func TestParseRefuses(t *testing.T) {
	cases := map[string]struct {
		old   string
		text  string
		line  int
		field string
		code  document.Code
	}{
		"zero number":                     {"Ticket: 1", "Ticket: 0", 1, "Ticket", document.CodeOutOfRange},
		"number above the maximum":        {"Ticket: 1", "Ticket: 18446744073709551615", 1, "Ticket", document.CodeOutOfRange},
		"empty name":                      {"Name: b", "Name: ''", 6, "Zones[1].Name", document.CodeMissing},
		"long name":                       {"Name: b", "Name: " + strings.Repeat("b", 65), 6, "Zones[1].Name", document.CodeBadName},
		"unprintable name":                {"Name: b", "Name: \"b\\n\"", 6, "Zones[1].Name", document.CodeBadName},
		"unprintable tenant":              {"Tenant: t\n    Addresses: [127.3.0.3", "Tenant: \"\\u200b\"\n    Addresses: [127.3.0.3", 13, "Services[1].Tenant", document.CodeBadName},
		"zone listed twice":               {"Name: b", "Name: a", 6, "Zones[1].Name", document.CodeDuplicate},
		"service listed twice":            {"Name: u\n", "Name: s\n", 12, "Services[1].Name", document.CodeDuplicate},
		"target listed twice":             {"Name: u-1", "Name: s-1", 22, "Targets[1].Name", document.CodeDuplicate},
		"listed and removed":              {"Target: s-9", "Target: s-1", 30, "Removed[0].Target", document.CodeDuplicate},
		"removal of two objects":          {"Target: s-9", "Target: s-9\n    Zone: c", 30, "Removed[0]", document.CodeMissing},
		"address of two services":         {"127.3.0.3:80", "127.3.0.1:80", 14, "Services[1].Addresses[0]", document.CodeAddressTaken},
		"unspecified address":             {"127.3.0.3:80", "0.0.0.0:80", 14, "Services[1].Addresses[0]", document.CodeBadAddress},
		"port zero":                       {"127.3.0.3:80", "127.3.0.3:0", 14, "Services[1].Addresses[0]", document.CodeBadAddress},
		"multicast address":               {"127.3.0.3:80", "224.0.0.1:80", 14, "Services[1].Addresses[0]", document.CodeBadAddress},
		"mapped address":                  {"127.3.0.3:80", "'[::ffff:127.3.0.1]:80'", 14, "Services[1].Addresses[0]", document.CodeBadAddress},
		"invalid address":                 {"127.3.0.3:80", "host:80", 14, "Services[1].Addresses[0]", document.CodeWrongType},
		"agent of two targets":            {"127.2.1.12:7100", "127.2.1.11:7100", 25, "Targets[1].Agent", document.CodeAddressTaken},
		"no agent":                        {"    Agent: 127.2.1.12:7100\n", "", 22, "Targets[1].Agent", document.CodeMissing},
		"no slots":                        {"    Slots: 2\n    Connections: 2000\n    State", "    Slots: 0\n    Connections: 2000\n    State", 26, "Targets[1].Slots", document.CodeOutOfRange},
		"too many connections":            {"Connections: 2000\n    State", "Connections: 100001\n    State", 27, "Targets[1].Connections", document.CodeOutOfRange},
		"unknown state":                   {"State: InService", "State: Cold", 28, "Targets[1].State", document.CodeBadState},
		"zone not listed":                 {"Zone: a\n    Agent: 127.2.1.12", "Zone: c\n    Agent: 127.2.1.12", 24, "Targets[1].Zone", document.CodeUnknownObject},
		"no target in service":            {"State: InService", "State: Draining", 12, "Services[1].Name", document.CodeNoTarget},
		"target in a zone out of service": {"Zone: a\n    Agent: 127.2.1.12", "Zone: b\n    Agent: 127.2.1.12", 12, "Services[1].Name", document.CodeNoTarget},
		"no objects":                      {base, "Ticket: 2\n", 1, "Ticket", document.CodeNoEffect},
		"complete without objects":        {base, "Ticket: 2\nComplete: true\n", 2, "Complete", document.CodeMissing},
		"unknown field of zone":           {"Name: b\n", "Name: b\n    Colour: c\n", 7, "Zones[1].Colour", document.CodeUnknownField},
		"wrong type of a number":          {"Ticket: 1", "Ticket: one", 1, "Ticket", document.CodeWrongType},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(base, c.old))
			_, err := ticket.Parse([]byte(strings.Replace(base, c.old, c.text, 1)))
			is.True(errors.Is(err, ticket.ErrInvalid))
			for _, p := range document.Problems(err) {
				if p.Line == c.line && p.Field == c.field && p.Code == c.code {
					return
				}
			}
			t.Errorf("expected problem is missing, found %v", document.Problems(err))
		})
	}
}

// Guards against valid tickets that are refused, missing defaults, and the wrong
// error for a ticket that is too long.
func TestParseAccepts(t *testing.T) {
	is := is.New(t)
	p, err := ticket.Parse([]byte(base))
	is.NoErr(err)
	is.True(p.Zones[0].InService)
	is.True(!p.Zones[1].InService)
	is.True(p.Version.Hash != 0)
	_, err = ticket.Parse([]byte(strings.Repeat(" ", ticket.MaxBytes+1)))
	is.True(errors.Is(err, ticket.ErrTooLong))
}

// Guards against inconsistencies between tickets that `ibisfold check` misses or
// reports at the wrong place.
func TestCheckHistory(t *testing.T) {
	cases := map[string]struct {
		next    string
		field   string
		code    document.Code
		warning bool
	}{
		"reused number":                {"Ticket: 1\nZones: [{Name: c}]\n", "Ticket", document.CodeReusedNumber, false},
		"unknown zone":                 {"Ticket: 2\nTargets: [" + target("x", "s", "c", 13) + "]\n", "Targets[0].Zone", document.CodeUnknownObject, false},
		"unknown service":              {"Ticket: 2\nTargets: [" + target("x", "v", "a", 13) + "]\n", "Targets[0].Service", document.CodeUnknownObject, false},
		"removed zone":                 {"Ticket: 2\nRemoved: [{Zone: a}]\n", "Ticket", document.CodeUnknownObject, false},
		"zone out of service":          {"Ticket: 2\nZones: [{Name: a, InService: false}]\n", "Ticket", document.CodeNoTarget, false},
		"service without target":       {"Ticket: 2\nServices: [{Name: v, Tenant: t}]\n", "Services[0].Name", document.CodeNoTarget, false},
		"last target moved":            {"Ticket: 2\nTargets: [" + target("u-1", "s", "a", 12) + "]\n", "Ticket", document.CodeNoTarget, false},
		"address owned":                {"Ticket: 2\nServices: [{Name: u, Tenant: t, Addresses: ['127.3.0.9:80', '127.3.0.2:80']}]\n", "Services[0].Addresses[1]", document.CodeAddressTaken, false},
		"agent in use":                 {"Ticket: 2\nTargets: [" + target("x", "s", "a", 12) + "]\n", "Targets[0].Agent", document.CodeAddressTaken, false},
		"removal of an unknown target": {"Ticket: 2\nRemoved: [{Target: x}]\n", "Removed[0].Target", document.CodeUnknownObject, true},
		"too large to spread":          {"Ticket: 2\nReason: \"" + incompressibleText(60_000) + "\"\nZones: [{Name: c}]\n", "", document.CodeSlowTicket, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := ticket.CheckHistory([]ticket.Source{source(is, "b", c.next), source(is, "a", base)})
			f = f[1:] // the warning that base removes a target that no ticket declares
			is.True(len(f) > 0)
			is.Equal(f[0].Problem.Field, c.field)
			is.Equal(f[0].Problem.Code, c.code)
			is.Equal(f[0].Problem.Warning, c.warning)
		})
	}
}

// target returns a target in flow style, whose agent has the address 127.2.1.n.
func target(name, service, zone string, n int) string {
	return fmt.Sprintf("{Name: %s, Service: %s, Zone: %s, Agent: '127.2.1.%d:7100', Slots: 1, Connections: 1}", name, service, zone, n)
}

// incompressibleText returns at least n bytes of text that does not compress
// well.
func incompressibleText(n int) string {
	b := &strings.Builder{}
	for x := uint64(1); b.Len() < n; x = x*6364136223846793005 + 1442695040888963407 {
		fmt.Fprintf(b, "%x", x>>32)
	}

	return b.String()
}

func source(is *is.I, file, text string) ticket.Source {
	t, d, problems := ticket.Read([]byte(text))
	is.Equal(len(problems), 0)

	return ticket.Source{
		File:     file,
		Ticket:   t,
		Document: d,
	}
}
