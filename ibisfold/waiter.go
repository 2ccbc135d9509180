package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/google/subcommands"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/peer"
)

// maxCalls bounds the processes that are called at the same time.
const maxCalls = 64

// callFunc calls one process for its status.
type callFunc func(ctx context.Context, addr netip.AddrPort, keys *keyring.Keyring) (peer.Status, error)

func callPeer(ctx context.Context, addr netip.AddrPort, keys *keyring.Keyring) (peer.Status, error) {
	s := peer.Status{}
	err := peer.Call(ctx, addr, keys, peer.MethodStatus, nil, &s)

	return s, err
}

// clock is the source of time of a waiter; tests replace it.
type clock interface {
	Now() time.Time
	// Sleep returns early if ctx is done.
	Sleep(ctx context.Context, d time.Duration)
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (wallClock) Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// answer is the result of the call to one process. Its exported fields are the output
// of `status --json`.
type answer struct {
	Address netip.AddrPort
	// Error is empty if the process answered.
	Error string `json:",omitempty"`
	// Status is nil if the process did not answer.
	Status *peer.Status `json:",omitempty"`
}

// waiter calls processes until a ticket is in force at all of them, or once if it does
// not wait for a ticket.
type waiter struct {
	*statusCommand
	addresses []netip.AddrPort
	keys      *keyring.Keyring
	// progress is the last progress line that was printed.
	progress string
}

func (w *waiter) run(ctx context.Context) subcommands.ExitStatus {
	start := w.clock.Now()
	answers := w.callAll(ctx)
	for w.wait > 0 && !w.inForce(answers) {
		w.report(start, answers)
		if ctx.Err() != nil || w.clock.Now().Sub(start)+pollInterval > w.timeout {
			break
		}
		w.clock.Sleep(ctx, pollInterval)
		answers = w.callAll(ctx)
	}
	w.print(answers)

	return w.result(start, answers)
}

// callAll calls all processes concurrently, at most maxCalls at a time. The last round also
// gets the whole callTimeout, even beyond the timeout of the command, so that a process that
// answers is not shown as unreachable.
func (w *waiter) callAll(ctx context.Context) []answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	answers := make([]answer, len(w.addresses))
	semaphore := make(chan struct{}, maxCalls)
	g := sync.WaitGroup{}
	for i, a := range w.addresses {
		semaphore <- struct{}{}
		g.Go(func() {
			answers[i] = w.callOne(ctx, a)
			<-semaphore
		})
	}
	g.Wait()

	return answers
}

func (w *waiter) callOne(ctx context.Context, addr netip.AddrPort) answer {
	s, err := w.call(ctx, addr, w.keys)
	if err != nil {
		return answer{
			Address: addr,
			Error:   err.Error(),
		}
	}

	return answer{
		Address: addr,
		Status:  &s,
	}
}

// inForce reports whether all processes have the awaited ticket. A process may
// have a higher ticket and still miss a lower one, so the digests must agree.
func (w *waiter) inForce(answers []answer) bool {
	for _, a := range answers {
		if a.Status == nil || a.Status.Ticket < w.wait || a.Status.Digest != answers[0].Status.Digest {
			return false
		}
	}

	return true
}

// report prints a progress line if it differs from the last one.
func (w *waiter) report(start time.Time, answers []answer) {
	merged, unreachable := 0, 0
	digests := map[string]bool{}
	pending := ""
	for _, a := range answers {
		switch {
		case a.Status == nil:
			unreachable++
		case a.Status.Ticket >= w.wait:
			merged++
			digests[a.Status.Digest] = true

			continue
		}
		if pending == "" {
			pending = a.Address.String()
		}
	}
	line := fmt.Sprintf("%d of %d processes have ticket %d, %d do not answer, %d different states", merged, len(answers), w.wait, unreachable, len(digests))
	if pending != "" {
		line += ", waiting for " + pending
	}
	if line == w.progress {
		return
	}
	w.progress = line
	fmt.Fprintf(w.err, "%5.1f s: %s\n", w.clock.Now().Sub(start).Seconds(), line)
}

func (w *waiter) print(answers []answer) {
	if !w.json {
		printTable(w.out, answers)

		return
	}
	e := json.NewEncoder(w.out)
	e.SetIndent("", "  ")
	if err := e.Encode(answers); err != nil {
		fmt.Fprintf(w.err, "ibisfold: %v\n", err)
	}
}

func (w *waiter) result(start time.Time, answers []answer) subcommands.ExitStatus {
	if w.wait > 0 {
		elapsed := w.clock.Now().Sub(start)
		if !w.inForce(answers) {
			fmt.Fprintf(w.err, "ticket %d is not in force at all processes after %.1f s\n", w.wait, elapsed.Seconds())

			return subcommands.ExitFailure
		}
		fmt.Fprintf(w.err, "ticket %d is in force at all processes after %.1f s\n", w.wait, elapsed.Seconds())
		if elapsed > w.timeout {
			return subcommands.ExitFailure
		}

		return subcommands.ExitSuccess
	}
	for _, a := range answers {
		if a.Status == nil {
			return subcommands.ExitFailure
		}
	}

	return subcommands.ExitSuccess
}
