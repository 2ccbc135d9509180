// Package experiment compares the admission and balance decisions of
// core/admission with other policies in a discrete-event simulation of targets,
// agents and callers. It uses a virtual clock and seeds: the same seed gives the
// same result.
package experiment

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Experiment is one of the measurements.
type Experiment struct {
	Name string
	Run  func(seed uint64) *Result
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

// settle is the time at the start of a run that is not measured.
const settle = 20 * time.Second

// normal are the options of the product.
func normal() options {
	return options{}
}

// steady is a workload of constant load.
func steady(load float64, end time.Duration) Workload {
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

// each runs n independent jobs, a few at a time, and returns their results in order.
func each[T any](n int, job func(i int) T) []T {
	out := make([]T, n)
	g := errgroup.Group{}
	g.SetLimit(max(1, min(4, runtime.NumCPU()/2)))
	for i := range n {
		g.Go(func() error {
			out[i] = job(i)

			return nil
		})
	}
	_ = g.Wait()

	return out
}

// busyMeters and flowMeters are the meters of the agents in service.
func (s *simulation) busyMeters() []*meter {
	m := []*meter{}
	for _, a := range s.live() {
		m = append(m, &a.target.busy)
	}

	return m
}

func (s *simulation) flowMeters() []*meter {
	m := []*meter{}
	for _, a := range s.live() {
		m = append(m, &a.flowsIn)
	}

	return m
}

// falls adds up the cold-start violations of all targets.
func (s *simulation) falls() (beyond, unknowable, falls int) {
	for _, a := range s.agents {
		beyond += a.target.beyond
		unknowable += a.target.unknowable
		falls += a.target.falls
	}

	return beyond, unknowable, falls
}
