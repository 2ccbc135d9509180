package experiment

import "time"

// retries compares callers with and without the retry budget, during and after a burst of
// twice the capacity.
func retries(seed uint64) *Result {
	sites := Sites()
	r := &Result{
		Name:   "retries",
		Header: []string{"Site", "Budget", "AttemptsPerRequestInBurst", "GoodputInBurst", "GoodputOfCapacity", "LatencyP99Ms", "RecoverySeconds"},
		XLabel: "seconds (hire-desk, 200% load from 30 to 40 s)",
		YLabel: "attempts per second over capacity",
	}
	runParallel(len(sites)*2, func(i int) func() {
		site := sites[i/2]
		o := defaultOptions()
		o.noBudget = i%2 == 1
		w := Workload{
			Phases: []Phase{
				{
					Until: 30 * time.Second,
					Load:  0.8,
				},
				{
					Until: 40 * time.Second,
					Load:  2,
				},
				{
					Until: 70 * time.Second,
					Load:  0.8,
				},
			},
			Tenants: 5,
		}
		s := run(site, Ibisfold{}, nil, o, w.generate(site, seed), w.end(), seed)
		t := s.stats.total(30*time.Second, 40*time.Second)
		name := "10%"
		if o.noBudget {
			name = "none"
		}

		return func() {
			r.add(site.Name, name, share(t.attempts, t.offered), share(t.good, t.offered),
				float64(t.finished)/10/site.capacity(), milliseconds(t.latency, 99),
				s.stats.recovery(40*time.Second, w.end()-2*deadline))
			if site.Name == "hire-desk" {
				r.Lines = append(r.Lines, s.stats.attemptLine(name, site.capacity(), w.end()))
			}
		}
	})

	return r
}

// attemptLine returns the attempts per second, relative to the capacity.
func (s *stats) attemptLine(name string, capacity float64, end time.Duration) Line {
	return s.line(name, capacity, end, func(p *periodStats) int { return p.attempts })
}
