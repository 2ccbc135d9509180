package main

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"github.com/google/subcommands"

	"ibisfold.example/core/document"
	"ibisfold.example/core/keyring"
)

// Times of the status command.
const (
	// defaultTimeout is the time within which a ticket comes into force everywhere in a
	// system of the design size.
	defaultTimeout = 13 * time.Second
	// pollInterval is the pause between two rounds of calls.
	pollInterval = 500 * time.Millisecond
	// callTimeout bounds one round of calls to all processes.
	callTimeout = 3 * time.Second
)

// statusCommand asks processes which ticket is in force.
type statusCommand struct {
	output
	call  callFunc
	clock clock
	// keys is the path of a settings file with the keys for the calls.
	keys string
	// wait is the number of the ticket to wait for, zero for none.
	wait    uint64
	timeout time.Duration
	json    bool
}

func newStatusCommand(o output) *statusCommand {
	return &statusCommand{
		output: o,
		call:   callPeer,
		clock:  wallClock{},
	}
}

// Name returns the name of the command.
func (*statusCommand) Name() string { return "status" }

// Synopsis describes the command in one line.
func (*statusCommand) Synopsis() string { return "show the ticket in force at running processes" }

// Usage describes the command with an example.
func (*statusCommand) Usage() string {
	return `ibisfold status ADDRESS... [--keys SETTINGS] [--wait TICKET --timeout D] [--json]

Asks the processes at the addresses that they advertise and prints the ticket
in force at each. With --wait it asks until every process has merged a ticket
with this or a higher number and all states are equal, and prints progress to
standard error.

Exit status: 0 if all processes answer and the awaited ticket is in force, 1 if
not in time, 2 for wrong arguments.

Example:
  ibisfold status 127.2.1.1:7100 127.2.2.1:7100 127.2.3.1:7100 \
    --keys examples/eisweinruf/settings/entry-iphofen.yaml --wait 4 --timeout 5s

`
}

// SetFlags adds the flags of the command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.keys, "keys", "settings.yaml", "settings of any process of the system, for their Keys")
	f.Uint64Var(&c.wait, "wait", 0, "number of the ticket to wait for")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time to wait")
	f.BoolVar(&c.json, "json", false, "print JSON instead of a table")
}

// Execute asks the processes and prints their answers.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names, err := positional(f)
	if err != nil || len(names) == 0 {
		return c.usageError("status needs at least one address; see `ibisfold help status`")
	}
	addresses := []netip.AddrPort{}
	for _, n := range names {
		a, err := netip.ParseAddrPort(n)
		if err != nil {
			return c.usageError("%s is not an address such as 127.2.1.1:7100", n)
		}
		addresses = append(addresses, a)
	}
	if c.timeout <= 0 {
		return c.usageError("timeout must be above 0")
	}
	keys, err := c.readKeys()
	if err != nil {
		return c.failure(err)
	}

	w := &waiter{
		statusCommand: c,
		addresses:     addresses,
		keys:          keys,
	}

	return w.run(ctx)
}

// readKeys reads the keys of the settings file. It prints the problems of the file.
// Error: errInvalidFile, or an error of the keys.
func (c *statusCommand) readKeys() (*keyring.Keyring, error) {
	f := readFile(c.keys)
	if f.process == nil && len(f.problems) == 0 {
		f.problems = []document.Problem{{
			Line:   1,
			Reason: "a ticket instead of settings",
		}}
	}
	for _, p := range f.problems {
		printProblem(c.err, f.name, p)
	}
	if len(f.problems) > 0 {
		return nil, errInvalidFile
	}

	return keyring.New(f.process.Keys)
}
