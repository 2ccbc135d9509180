package proof_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	seedFlag  = flag.Uint64("seed", 1, "seed of the random numbers")
	stepsFlag = flag.Uint64("steps", 400_000, "minimum number of inputs of decision cores that the fuzzer runs")
	tableFlag = flag.Bool("table", false, "print the whole table of the matrix")
	cellFlag  = flag.String("cell", "", "run only the cells whose name contains this, and print what callers and targets see")
	worldFlag = flag.Uint64("world", 0, "print what happens in this world of the fuzzer")
	// brokenFlag is a value of the type protection.
	brokenFlag = flag.Int("broken", 0, "number of the protection that TestFindProtections breaks")
	// lastLine is the summary that TestMain prints after all tests.
	lastLine string
)

// TestMain prints the summary line of the matrix or the fuzzer last.
func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if lastLine != "" {
		fmt.Println(lastLine)
	}
	os.Exit(code)
}

// phase is when a fault starts, relative to its step.
type phase struct {
	name  string
	delay time.Duration
}

var phases = []phase{
	{"before", -time.Second},
	{"during", 30 * time.Millisecond},
	{"after", 2500 * time.Millisecond},
}

// cell is one combination of the fault matrix.
type cell struct {
	step  step
	fault fault
	phase phase
}

func (c cell) String() string {
	return fmt.Sprintf("%s / %s / %s", c.step.name, c.fault.name, c.phase.name)
}

// runCell runs one fault at one step, heals it, checks the flows and returns the
// site for inspection.
func runCell(c cell, seed uint64, b protection) *site {
	s := newSite(seed, b)
	s.verbose = *cellFlag != ""
	s.openFlows(12)
	s.Run(warmUpTime)
	start := s.Now
	if c.phase.delay < 0 {
		c.fault.run(s)
		s.Run(-c.phase.delay)
	} else {
		s.After(c.phase.delay, func() {
			c.fault.run(s)
		})
	}
	c.step.run(s)
	s.Run(max(0, start+max(c.fault.minTime, minFaultTime)-s.Now))
	s.heal()
	s.Run(10 * time.Second)
	s.checkFlowsAnswer()

	return s
}

func cells() []cell {
	list := []cell{}
	for _, t := range steps {
		for _, f := range faults() {
			for _, p := range phases {
				if f.name == "none" && p.name != "before" {
					continue
				}
				c := cell{
					step:  t,
					fault: f,
					phase: p,
				}
				if strings.Contains(c.String(), *cellFlag) {
					list = append(list, c)
				}
			}
		}
	}

	return list
}

type result struct {
	cell     cell
	failures map[string]int
	first    string
	inputs   uint64
}

func runCells(list []cell, seed uint64, b protection, workers int) []result {
	results := make([]result, len(list))
	next := make(chan int)
	g := sync.WaitGroup{}
	for range workers {
		g.Go(func() {
			for i := range next {
				s := runCell(list[i], seed, b)
				results[i] = result{
					cell:     list[i],
					failures: s.oracle.failures,
					first:    s.oracle.first,
					inputs:   s.inputs,
				}
			}
		})
	}
	for i := range list {
		next <- i
	}
	close(next)
	g.Wait()

	return results
}

// sample returns the cells that run in CI: every tenth of the matrix, so that each
// step, fault and phase is in the sample.
func sample(list []cell) []cell {
	const every = 10
	s := []cell{}
	for i := 0; i < len(list); i += every {
		s = append(s, list[i])
	}

	return s
}

// TestMatrix checks all invariants under every fault at every step.
func TestMatrix(t *testing.T) {
	list := cells()
	if !*tableFlag && *cellFlag == "" {
		list = sample(list)
	}
	results := runCells(list, *seedFlag, breakNothing, 8)
	failed := 0
	inputs := uint64(0)
	for _, r := range results {
		inputs += r.inputs
		if len(r.failures) > 0 {
			failed++
			t.Errorf("%s: %s: %s", r.cell, formatCounts(r.failures), r.first)
		}
	}
	if *tableFlag {
		printTable(results)
	}
	lastLine = fmt.Sprintf("Cells=%d Failed=%d", len(results), failed)
	t.Logf("%d inputs of cores", inputs)
}

func formatCounts(m map[string]int) string {
	s := []string{}
	for k, v := range m {
		s = append(s, fmt.Sprintf("%s=%d", k, v))
	}
	sort.Strings(s)

	return strings.Join(s, " ")
}

// printTable prints a table of faults by steps with the violations of each
// invariant, summed over the phases; a dot stands for none.
func printTable(results []result) {
	sums := map[[2]string]map[string]int{}
	for _, r := range results {
		k := [2]string{r.cell.fault.name, r.cell.step.name}
		if sums[k] == nil {
			sums[k] = map[string]int{}
		}
		for n, v := range r.failures {
			sums[k][n] += v
		}
	}
	fmt.Printf("%-32s", "fault")
	for _, s := range steps {
		fmt.Printf(" %-13s", s.name)
	}
	fmt.Println()
	for _, f := range faults() {
		fmt.Printf("%-32s", f.name)
		for _, s := range steps {
			text := formatCounts(sums[[2]string{f.name, s.name}])
			if text == "" {
				text = "."
			}
			fmt.Printf(" %-13s", text)
		}
		fmt.Println()
	}
}
