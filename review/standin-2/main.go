// Command standin runs the cases of the second review: it starts the project's programs as
// separate processes on loopback, beside stand-ins of clients, endpoints, routers and the store.
// It exits with 1 if the rule of the case was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime bounds a run.
const maxRunTime = 110 * time.Second

// cases are the scenarios by name. Each returns an error if it couldn't run.
var cases = map[string]func(context.Context, *bed) error{
	"exporter":    runExporter,
	"no-id":       runNoID,
	"probe-entry": runProbeEntry,
	"cold-return": runColdReturn,
	"release":     runRelease,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	scenario, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)

		return exitFailed
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}
	defer rec.close()
	b, err := newBed(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}
	defer b.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	if err := scenario(ctx, b); err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}
	if ctx.Err() != nil {
		rec.add("the case was ended early")

		return exitFailed
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	rec.add("result: rule broken %d times", b.broken)
	fmt.Printf("%s: trouble %v, rule broken %d times\n", name, b.trouble, b.broken)
	if b.broken > 0 {
		return exitBroken
	}

	return exitHeld
}
