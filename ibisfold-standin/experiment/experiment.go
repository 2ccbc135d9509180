// Package experiment compares the admission and balance decisions of core/admission with
// other policies in a discrete-event simulation of targets, agents and callers. It uses a
// virtual clock, and the same seed gives the same result.
package experiment

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Experiment is one measurement.
type Experiment struct {
	Name string
	// Run runs the simulations and returns their result.
	Run func(seed uint64) *Result
}

// All returns the experiments in the order of the report.
func All() []Experiment {
	return []Experiment{
		{
			Name: "imbalance",
			Run:  imbalance,
		},
		{
			Name: "cold",
			Run:  cold,
		},
		{
			Name: "overload",
			Run:  overload,
		},
		{
			Name: "fairness",
			Run:  fairness,
		},
		{
			Name: "zone",
			Run:  zone,
		},
		{
			Name: "reports",
			Run:  reports,
		},
		{
			Name: "retries",
			Run:  retries,
		},
	}
}

// warmUpTime is the time at the start of a run that measurements leave out.
const warmUpTime = 20 * time.Second

// defaultOptions returns the options of the real system.
func defaultOptions() options {
	return options{}
}

// constantLoad returns a workload of five tenants with a constant load until end.
func constantLoad(load float64, end time.Duration) Workload {
	return Workload{
		Phases: []Phase{
			{
				Until: end,
				Load:  load,
			},
		},
		Tenants: 5,
	}
}

// runParallel runs n independent jobs, at most four at a time. The functions that the jobs return
// add their rows to a result; they run one by one at the end, in the order of the jobs.
func runParallel(n int, job func(i int) (add func())) {
	rows := make([]func(), n)
	g := errgroup.Group{}
	g.SetLimit(max(1, min(4, runtime.NumCPU()/2)))
	for i := range n {
		g.Go(func() error {
			rows[i] = job(i)

			return nil
		})
	}
	_ = g.Wait()
	for _, add := range rows {
		add()
	}
}

// busyMeters returns the meters of busy slots of the agents in service.
func (s *simulation) busyMeters() []*meter {
	m := []*meter{}
	for _, a := range s.inService() {
		m = append(m, &a.target.busy)
	}

	return m
}

// flowMeters returns the meters of open flows of the agents in service.
func (s *simulation) flowMeters() []*meter {
	m := []*meter{}
	for _, a := range s.inService() {
		m = append(m, &a.flowMeter)
	}

	return m
}

// crashes adds up the counters of all targets for requests above maxRunning and for crashes.
func (s *simulation) crashes() (signalledOverruns, unsignalledOverruns, crashes int) {
	for _, a := range s.agents {
		signalledOverruns += a.target.signalledOverruns
		unsignalledOverruns += a.target.unsignalledOverruns
		crashes += a.target.crashes
	}

	return signalledOverruns, unsignalledOverruns, crashes
}
