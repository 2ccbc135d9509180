package experiment

import "time"

const (
	overloadFrom = 30 * time.Second
	overloadTo   = 70 * time.Second
	overloadEnd  = 100 * time.Second
	// baseLoad is the load before and after the overload.
	baseLoad = 0.6
)

// overload raises the load for 40 s and measures waiting times, goodput and recovery.
func overload(seed uint64) *Result {
	type job struct {
		site   Site
		load   float64
		policy Policy
	}
	jobs := []job{}
	for _, s := range Sites() {
		for _, l := range []float64{0.7, 0.9, 1.1, 2} {
			for _, p := range Policies()[:5] {
				jobs = append(jobs, job{
					site:   s,
					load:   l,
					policy: p,
				})
			}
		}
	}
	r := &Result{
		Name:   "overload",
		Header: []string{"Site", "Load", "Policy", "QueueP99Ms", "WaitP99Ms", "LatencyP99Ms", "GoodputOfOffered", "GoodputOfCapacity", "RecoverySeconds", "OffersPerRequest"},
		XLabel: "seconds (hire-desk, 200% load from 30 to 70 s)",
		YLabel: "good answers per second over capacity",
	}
	runParallel(len(jobs), func(i int) func() {
		j := jobs[i]
		w := Workload{
			Phases: []Phase{
				{
					Until: overloadFrom,
					Load:  baseLoad,
				},
				{
					Until: overloadTo,
					Load:  j.load,
				},
				{
					Until: overloadEnd,
					Load:  baseLoad,
				},
			},
			Tenants: 5,
		}
		s := run(j.site, j.policy, nil, defaultOptions(), w.generate(j.site, seed), overloadEnd, seed)
		t := s.stats.total(overloadFrom, overloadTo)
		finished := float64(t.finished) / (overloadTo - overloadFrom).Seconds() / j.site.capacity()

		return func() {
			r.add(j.site.Name, j.load, j.policy.Name(), milliseconds(t.queues, 99), milliseconds(t.waits, 99), milliseconds(t.latency, 99),
				share(t.good, t.offered), finished, s.stats.recovery(overloadTo, overloadEnd-2*deadline), share(s.offers, len(s.trace.arrivals)))
			if j.site.Name == "hire-desk" && j.load == 2 {
				r.Lines = append(r.Lines, s.stats.goodputLine(j.policy.Name(), j.site.capacity(), overloadEnd))
			}
		}
	})

	return r
}

// recovery returns the seconds from the time from until the first of three seconds in a row
// with at least 99% of their requests answered within the deadline, or -1 if there are none
// before to.
func (s *stats) recovery(from, to time.Duration) int {
	run := 0
	for i := int(from / time.Second); i < int(to/time.Second); i++ {
		if c := s.seconds[i]; float64(c.good) >= 0.99*float64(c.offered) {
			run++
		} else {
			run = 0
		}
		if run == 3 {
			return i - 2 - int(from/time.Second)
		}
	}

	return -1
}

// goodputLine returns the answers within the deadline per second, relative to the capacity.
func (s *stats) goodputLine(name string, capacity float64, end time.Duration) Line {
	return s.line(name, capacity, end, func(p *periodStats) int { return p.finished })
}
