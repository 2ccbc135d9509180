// Package soak runs the real programs as separate processes on loopback and
// injects faults from outside, by signals and by proxies on their links. It decides from
// what callers and targets observe whether the guarantees of the system hold.
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"
)

// options are the values of the command's flags.
type options struct {
	// bin is the folder of the programs, dir that of settings and logs.
	bin     string
	dir     string
	seed    uint64
	seconds int
	// entries, agents and callers are the number of each per zone.
	entries int
	agents  int
	callers int
	// only is the name of the only fault to inject; empty for all.
	only string
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

// SetFlags declares the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "folder of the programs")
	f.StringVar(&c.dir, "logs", "", "folder for settings and logs; by default a temporary one")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the faults")
	f.IntVar(&c.seconds, "seconds", 20, "time with faults")
	f.IntVar(&c.entries, "entries", 2, "entries in each zone")
	f.IntVar(&c.agents, "agents", 3, "agents in each zone, with a target each")
	f.StringVar(&c.only, "only", "", "name of the only fault to inject, such as 'service replaced'; by default all")
	f.IntVar(&c.callers, "callers", 8, "callers in each zone")
}

// Execute runs the soak. It fails if a guarantee was violated.
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

// run runs the soak and returns the number of violations.
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
	b, err := newTestbed(&c.options)
	if err != nil {
		return 0, err
	}
	defer b.stop()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := b.start(ctx, &c.options); err != nil {
		return 0, err
	}
	begin := time.Now()
	count := b.injectFaults(ctx, begin.Add(time.Duration(c.seconds)*time.Second), c.only, func(name string) {
		fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), name)
	})
	b.order.Lock()
	select {
	case <-time.After(c.waitTime()):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	b.checkRecovery()
	if err := b.checkEnds(c.dir); err != nil {
		return 0, err
	}

	return c.report(b, count), nil
}

// waitTime returns the time from the end of the last order until callers must be served again.
func (c *Command) waitTime() time.Duration {
	if slices.ContainsFunc(orders, func(f fault) bool { return f.name == c.only }) {
		return maxRecoveryTime
	}

	return max(maxDrainTime+maxFaultTime, maxReplacedTime) + maxRecoveryTime
}

// report prints the violations and the summary, and returns the number of violations.
func (c *Command) report(b *testbed, count int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	flows, resets := int64(0), int64(0)
	for _, x := range append(b.probers, b.callers...) {
		flows += x.flows.Load()
		resets += x.resets.Load()
	}
	for _, v := range b.violations {
		fmt.Println("broken:", v)
	}
	if len(b.violations) > 0 {
		fmt.Println("logs:", c.dir)
	}
	fmt.Printf("store calls: %d, resets: %d\n", b.store.Calls(), resets)
	fmt.Printf("Seed=%d Flows=%d Faults=%d Violations=%d\n", c.seed, flows, count, len(b.violations))

	return len(b.violations)
}
