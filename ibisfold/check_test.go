package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func writeFile(is *is.I, dir, name, text string) string {
	path := filepath.Join(dir, name)
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))

	return path
}

// Guards against changes in the output format and exit status of `check`, on which
// scripts rely.
func TestCheckReports(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
		code int
	}{
		"ticket":       {"Ticket: 1\nColour: red\n", "f.yaml:2: Colour: unknown field\n", 1},
		"entry":        {"Callers: 127.1.1.1:x\n", "f.yaml:1: Callers: \"127.1.1.1:x\" is not an address such as 127.0.0.1:80\n", 1},
		"agent":        {"Name: a\nTarget: []\n", "f.yaml:2: Target: expected an address, found a list\n", 1},
		"other":        {"Colour: red\n", "f.yaml:1: document: neither a ticket", 1},
		"warning only": {"Ticket: 1\nZones: [{Name: a}]\nRemoved: [{Zone: b}]\n", "f.yaml:3: Removed[0].Zone: warning: no earlier ticket declares Zone \"b\"\n", 0},
		"not YAML":     {"Ticket: [\n", "f.yaml:1: document: not YAML: ", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Chdir(t.TempDir())
			writeFile(is, ".", "f.yaml", c.text)
			code, out, _ := command("check", "f.yaml")
			is.True(strings.Contains(out, c.want))
			is.Equal(code, c.code)
		})
	}
}

// Guards against wrong exit statuses for wrong arguments and missing files.
func TestExitStatus(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
	}{
		"no command":      {nil, 2},
		"unknown command": {[]string{"paint"}, 2},
		"no file":         {[]string{"check"}, 2},
		"unknown flag":    {[]string{"check", "f", "--colour"}, 2},
		"missing file":    {[]string{"check", "missing.yaml"}, 1},
		"no ticket":       {[]string{"explain"}, 2},
		"no address":      {[]string{"status"}, 2},
		"bad address":     {[]string{"status", "iphofen"}, 2},
		"no keys":         {[]string{"status", "127.0.0.1:1", "--keys", "missing.yaml"}, 1},
		"help":            {[]string{"help", "status"}, 0},
		"version":         {[]string{"version"}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, _ := command(c.args...)
			is.Equal(code, c.code)
		})
	}
}

// Guards against a `check` that does not compare the tickets of several files, such as
// two with the same number.
func TestCheckComparesFiles(t *testing.T) {
	is := is.New(t)
	start := glob(is, "eisweinruf/tickets/0001*.yaml")[0]
	duplicate := writeFile(is, t.TempDir(), "again.yaml", "Ticket: 1\nZones:\n  - Name: iphofen\n")
	code, out, errs := command("check", duplicate, start)
	is.Equal(code, 1)
	is.True(strings.Contains(out, "Ticket: number 1 is also used by "))
	is.Equal(errs, "1 of 2 files are not valid\n")
}
