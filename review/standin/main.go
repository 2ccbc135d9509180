// Program standin plays the scenarios of the review against the project's own programs, which
// run as separate processes on loopback. It exits with 1 if the rule of the scenario was
// broken, with 0 if it held, and with 2 if the scenario couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// scenario plays one case and returns the rule that it checks.
type scenario func(w *world) (rule string, err error)

var scenarios = map[string]scenario{
	"clock-step":    playClockStep,
	"new-frontends": playNewFrontends,
	"store-flow":    playStoreFlow,
	"store-copy":    playStoreCopy,
	"store-passed":  playStorePassed,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: standin SCENARIO RECORD")

		return statusNotRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)

		return statusNotRun
	}
	defer w.stop()
	rule, err := scenarios[os.Args[1]](w)
	if err != nil {
		fmt.Println(err)
		w.record("not run: %v", err)

		return statusNotRun
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("requests sent %d, answered %d, flows reset %d", w.counts.sent, w.counts.answered, w.counts.resets)
	for r, n := range w.violations {
		w.line("rule %s broken %d times", r, n)
		fmt.Printf("rule %s broken %d times\n", r, n)
	}
	fmt.Printf("%s, trouble %v: requests sent %d, answered %d, flows reset %d, %.0f s\n", os.Args[1], w.trouble,
		w.counts.sent, w.counts.answered, w.counts.resets, time.Since(w.began).Seconds())
	if w.violations[rule] > 0 {
		return statusBroken
	}
	if w.counts.answered == 0 {
		fmt.Println("no request was answered")

		return statusNotRun
	}

	return statusHeld
}
