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

// maxCalls bounds the processes that are asked at the same time.
const maxCalls = 64

// callFunc asks one process for its status.
type callFunc func(ctx context.Context, addr netip.AddrPort, keys *keyring.Keyring) (peer.Status, error)

func callPeer(ctx context.Context, addr netip.AddrPort, keys *keyring.Keyring) (peer.Status, error) {
	s := peer.Status{}
	err := peer.Call(ctx, addr, keys, peer.MethodStatus, nil, &s)

	return s, err
}

// clock is what waiting needs of the time; tests replace it.
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

// answer is what one process said.
type answer struct {
	Address netip.AddrPort
	// Error is empty if the process answered.
	Error string `json:",omitempty"`
	// Status is nil if the process did not answer.
	Status *peer.Status `json:",omitempty"`
}

// waiter asks processes until a ticket is in force at all of them.
type waiter struct {
	*statusCommand
	addresses []netip.AddrPort
	keys      *keyring.Keyring
	// progress is the last line of progress that was printed.
	progress string
}

func (w *waiter) run(ctx context.Context) subcommands.ExitStatus {
	start := w.clock.Now()
	answers := w.ask(ctx)
	for w.wait > 0 && !w.inForce(answers) {
		w.report(start, answers)
		if ctx.Err() != nil || w.clock.Now().Sub(start)+pollInterval > w.timeout {
			break
		}
		w.clock.Sleep(ctx, pollInterval)
		answers = w.ask(ctx)
	}
	w.print(answers)

	return w.result(start, answers)
}

// ask asks all processes at the same time. The last question has its full time
// too, so that a process that answers is not shown as silent.
func (w *waiter) ask(ctx context.Context) []answer {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()

	answers := make([]answer, len(w.addresses))
	slots := make(chan struct{}, maxCalls)
	g := sync.WaitGroup{}
	for i, a := range w.addresses {
		slots <- struct{}{}
		g.Go(func() {
			answers[i] = w.askOne(ctx, a)
			<-slots
		})
	}
	g.Wait()

	return answers
}

func (w *waiter) askOne(ctx context.Context, addr netip.AddrPort) answer {
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

// report prints a line of progress if it differs from the last one.
func (w *waiter) report(start time.Time, answers []answer) {
	have, silent := 0, 0
	digests := map[string]bool{}
	first := ""
	for _, a := range answers {
		switch {
		case a.Status == nil:
			silent++
		case a.Status.Ticket >= w.wait:
			have++
			digests[a.Status.Digest] = true

			continue
		}
		if first == "" {
			first = a.Address.String()
		}
	}
	line := fmt.Sprintf("%d of %d processes have ticket %d, %d do not answer, %d different states", have, len(answers), w.wait, silent, len(digests))
	if first != "" {
		line += ", waiting for " + first
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
		took := w.clock.Now().Sub(start)
		if !w.inForce(answers) {
			fmt.Fprintf(w.err, "ticket %d is not in force at all processes after %.1f s\n", w.wait, took.Seconds())

			return subcommands.ExitFailure
		}
		fmt.Fprintf(w.err, "ticket %d is in force at all processes after %.1f s\n", w.wait, took.Seconds())
		if took > w.timeout {
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
