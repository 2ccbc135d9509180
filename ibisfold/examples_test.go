package main

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/settings"
)

var sites = []string{"eisweinruf", "ulaanbaatar"}

func glob(is *is.I, pattern string) []string {
	files, err := filepath.Glob(filepath.Join("..", "examples", pattern))
	is.NoErr(err)
	is.True(len(files) > 0)

	return files
}

// command runs the program and returns its exit status, standard output and standard
// error.
func command(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := run(context.Background(), args, &out, &errs)

	return code, out.String(), errs.String()
}

// Guards against examples that the processes would reject.
func TestExamplesAreValid(t *testing.T) {
	for _, s := range sites {
		t.Run(s, func(t *testing.T) {
			is := is.New(t)
			files := append(glob(is, s+"/settings/*.yaml"), glob(is, s+"/tickets/*.yaml")...)
			code, out, errs := command(append([]string{"check"}, files...)...)
			is.Equal(out+errs, "")
			is.Equal(code, 0)
		})
	}
}

// Guards against example settings that do not match the tickets. For example, an agent
// gets no traffic if it advertises another address than the one in the tickets.
func TestExampleAgentsFitTickets(t *testing.T) {
	for _, s := range sites {
		t.Run(s, func(t *testing.T) {
			is := is.New(t)
			tickets, err := readTickets(&bytes.Buffer{}, glob(is, s+"/tickets/000[1-3]*.yaml"))
			is.NoErr(err)
			for _, k := range tickets {
				for _, v := range k.Targets {
					a := settings.Agent{}
					is.NoErr(settings.Load(filepath.Join("..", "examples", s, "settings", v.Name+".yaml"), &a))
					is.Equal(a.Name, v.Name)
					is.Equal(a.Zone, v.Zone)
					is.Equal(a.Advertise, v.Agent)
				}
			}
		})
	}
}

// Guards against a complete example ticket that differs from the state that the other
// example tickets add up to, and against a `complete` that changes the state.
func TestCompleteEqualsState(t *testing.T) {
	for _, s := range sites {
		t.Run(s, func(t *testing.T) {
			is := is.New(t)
			tickets := glob(is, s+"/tickets/000[1-6]*.yaml")
			complete := glob(is, s+"/tickets/0007*.yaml")
			code, out, _ := command(append([]string{"complete"}, tickets...)...)
			is.Equal(code, 0)
			is.True(strings.HasPrefix(out, "Ticket: 7\n"))
			code, out, _ = command(append([]string{"explain", complete[0], "--against"}, tickets...)...)
			is.Equal(code, 0)
			is.Equal(strings.Count(out, "no change"), 3)
		})
	}
}

// Guards against wrong lists of flows that are given up. Only a zone that is taken out
// of service gives up flows, not the drain, replacement or move of a target.
func TestExplainGivenUp(t *testing.T) {
	is := is.New(t)
	files := glob(is, "eisweinruf/tickets/000[1-6]*.yaml")
	for i := range files {
		_, out, errs := command(append([]string{"explain", files[i], "--against"}, files[:max(i, 1)]...)...)
		is.Equal(errs, "")
		is.Equal(strings.Count(out, "all flows of target"), map[int]int{3: 3}[i])
	}
}

// Guards against kinds of change that `explain` does not print.
func TestExplainNamesChanges(t *testing.T) {
	cases := map[string]string{
		"000[1]*": "rufdienst: added for tenant eisweinruf at [127.3.0.1:80]",
		"000[2]*": "rufdienst-2: drains",
		"000[3]*": "rufdienst-2: removed from service rufdienst",
		"000[5]*": "randersacker: returns to service",
		"000[6]*": "rufdienst-7: moves from service rufdienst to kartendienst",
	}
	for pattern, want := range cases {
		t.Run(pattern, func(t *testing.T) {
			is := is.New(t)
			file := glob(is, "eisweinruf/tickets/"+pattern)[0]
			args := []string{"explain", file}
			for _, f := range glob(is, "eisweinruf/tickets/*.yaml") {
				if f < file {
					args = append(args, "--against", f)
				}
			}
			_, out, _ := command(args...)
			is.True(strings.Contains(out, want))
		})
	}
}

func Example_explain() {
	code, out, _ := command("explain", "../examples/eisweinruf/tickets/0002-drain-rufdienst-2.yaml",
		"--against", "../examples/eisweinruf/tickets/0001-start.yaml")
	fmt.Print(out)
	fmt.Println(code)
	// Output:
	// Ticket 2: drain rufdienst-2 before its VM is replaced
	// Zones:
	//   no change
	// Services and addresses:
	//   no change
	// Targets:
	//   rufdienst-2: drains; it gets no new work after 3 s and hands its flows over
	// Flows given up:
	//   none
	// Notes:
	//   service rufdienst: 6 targets in service, 7 before
	// 0
}
