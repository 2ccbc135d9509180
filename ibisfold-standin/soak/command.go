// Package soak runs the real programs as separate processes on loopback and
// injects faults from outside: signals, and proxies on their links. Meanwhile it
// checks the promises from what callers and targets see.
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
)

// options are the flags of the command.
type options struct {
	bin     string
	dir     string
	seed    uint64
	seconds int
	// entries, agents and callers are numbers in each of three zones.
	entries int
	agents  int
	callers int
}

// Command is the soak subcommand.
type Command struct {
	options
}

// Name returns the name of the command.
func (*Command) Name() string { return "soak" }

// Synopsis describes the command in one line.
func (*Command) Synopsis() string {
	return "run the real programs under random faults and check the promises"
}

// Usage describes the command with an example.
func (*Command) Usage() string {
	return `soak --seed N --seconds N [--bin DIR] [--logs DIR]

Runs entries and agents for opaque flows on loopback, disturbs them with faults
drawn from the seed, and checks what callers and targets see. The last line is
Seed=... Flows=... Faults=... Violations=...; the exit status is 1 after a violation.

`
}

// SetFlags sets the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "folder of the programs")
	f.StringVar(&c.dir, "logs", "", "folder for settings and logs; by default a temporary one")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the faults")
	f.IntVar(&c.seconds, "seconds", 20, "time with faults")
	f.IntVar(&c.entries, "entries", 2, "entries in each zone")
	f.IntVar(&c.agents, "agents", 3, "agents in each zone, with a target each")
	f.IntVar(&c.callers, "callers", 8, "callers in each zone")
}

// Execute runs the soak.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	violations, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)

		return subcommands.ExitFailure
	}
	if violations > 0 {
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) (int, error) {
	if c.dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return 0, err
		}
		c.dir = dir
	}
	if err := os.MkdirAll(c.dir, 0o755); err != nil {
		return 0, err
	}
	w, err := newWorld(&c.options)
	if err != nil {
		return 0, err
	}
	defer w.halt()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := w.start(ctx, &c.options); err != nil {
		return 0, err
	}
	begin := time.Now()
	count := w.disturbAll(ctx, begin.Add(time.Duration(c.seconds)*time.Second), func(name string) {
		fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), name)
	})
	select {
	case <-time.After(drainTime + longestFault + recoveryTime):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	w.judgeRecovery()

	return c.report(w, count), nil
}

func (c *Command) report(w *world, count int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	flows := int64(0)
	for _, x := range w.callers {
		flows += x.flows.Load()
	}
	for _, b := range w.broken {
		fmt.Println("broken:", b)
	}
	if len(w.broken) > 0 {
		fmt.Println("logs:", c.dir)
	}
	fmt.Printf("store calls: %d\n", w.store.Calls())
	fmt.Printf("Seed=%d Flows=%d Faults=%d Violations=%d\n", c.seed, flows, count, len(w.broken))

	return len(w.broken)
}
