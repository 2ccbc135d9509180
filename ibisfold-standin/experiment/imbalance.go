package experiment

import "time"

const (
	imbalanceLoad = 0.7
	imbalanceEnd  = 220 * time.Second
	// imbalanceSeeds is the number of runs of each case, with successive seeds.
	imbalanceSeeds = 3
)

// imbalance compares the policies at 70% load without faults, with and without bursts.
func imbalance(seed uint64) *Result {
	type job struct {
		site   Site
		bursts bool
		policy Policy
	}
	jobs := []job{}
	for _, s := range Sites() {
		for _, b := range []bool{false, true} {
			for _, p := range Policies() {
				jobs = append(jobs, job{
					site:   s,
					bursts: b,
					policy: p,
				})
			}
		}
	}
	r := &Result{
		Name:   "imbalance",
		Header: []string{"Site", "Arrivals", "Policy", "BusyMean", "BusyP99", "FlowsMean", "FlowsP99", "WaitP99Ms", "LatencyP99Ms", "Goodput", "OffersPerRequest"},
		XLabel: "highest over mean of busy slots in 10 s",
		YLabel: "share of windows (hire-desk, Poisson)",
	}
	runParallel(len(jobs), func(i int) func() {
		j := jobs[i]
		w := constantLoad(imbalanceLoad, imbalanceEnd)
		w.Bursts = j.bursts
		busy, flows := []float64{}, []float64{}
		sum := newStats().total(0, 0)
		moves, requests := 0, 0
		for k := range uint64(imbalanceSeeds) {
			s := run(j.site, j.policy, nil, defaultOptions(), w.generate(j.site, seed+k), imbalanceEnd, seed+k)
			busy = append(busy, imbalances(s.busyMeters(), warmUpTime, imbalanceEnd)...)
			flows = append(flows, imbalances(s.flowMeters(), warmUpTime, imbalanceEnd)...)
			t := s.stats.total(warmUpTime, imbalanceEnd-deadline)
			sum.waits.Merge(t.waits)
			sum.latency.Merge(t.latency)
			sum.offered += t.offered
			sum.good += t.good
			moves += s.offers
			requests += len(s.trace.arrivals)
		}
		arrivals := "Poisson"
		if j.bursts {
			arrivals = "bursts"
		}

		return func() {
			r.add(j.site.Name, arrivals, j.policy.Name(), mean(busy), quantile(busy, 0.99),
				mean(flows), quantile(flows, 0.99), milliseconds(sum.waits, 99), milliseconds(sum.latency, 99),
				share(sum.good, sum.offered), share(moves, requests))
			if j.site.Name == "hire-desk" && !j.bursts {
				r.Lines = append(r.Lines, distribution(j.policy.Name(), busy))
			}
		}
	})

	return r
}

// distribution returns the cumulative distribution of values, in steps of one percent.
func distribution(name string, values []float64) Line {
	l := Line{
		Name: name,
	}
	for i := range 101 {
		l.X = append(l.X, quantile(values, float64(i)/100))
		l.Y = append(l.Y, float64(i)/100)
	}

	return l
}

// share returns part relative to whole, or to one if whole is zero.
func share(part, whole int) float64 {
	return float64(part) / float64(max(1, whole))
}
