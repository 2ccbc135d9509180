package demo

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

const examples = "../../examples"

// TestLoadSite guards against examples that the demo can't run, such as tickets that name
// targets without settings.
func TestLoadSite(t *testing.T) {
	for name := range sites {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := loadSite(examples, name)
			is.NoErr(err)
			is.True(len(s.entries) >= 3)
			named := map[string]bool{}
			for _, v := range s.agents {
				is.True(v.target.IsValid())
				named[v.name] = true
			}
			for _, p := range s.tickets {
				k, err := readTicket(p)
				is.NoErr(err)
				for _, g := range k.Targets {
					is.True(named[g.Name])
				}
			}
			for _, l := range s.loads(1, 0.5, 1) {
				is.True(l.Flows > 0 && l.Rate > 0)
			}
		})
	}
	is := is.New(t)
	_, err := loadSite(examples, "other")
	is.True(errors.Is(err, ErrSite))
}

// TestParseGauge guards against reading the ticket number from another metric.
func TestParseGauge(t *testing.T) {
	cases := []struct {
		name string
		text string
		want uint64
		ok   bool
	}{
		{name: "plain", text: "ibisfold_ticket 7\n", want: 7, ok: true},
		{name: "labels", text: "a 1\nibisfold_ticket{zone=\"a b\"} 8\n", want: 8, ok: true},
		{name: "longer name", text: "ibisfold_tickets_refused_total 3\n"},
		{name: "comment", text: "# ibisfold_ticket 3\n"},
		{name: "not a number", text: "ibisfold_ticket x\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n, ok := parseGauge(strings.NewReader(c.text), ticketGauge)
			is.Equal(ok, c.ok)
			if ok {
				is.Equal(n, c.want)
			}
		})
	}
}
