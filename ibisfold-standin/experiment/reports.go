package experiment

import "time"

const (
	reportsEnd = 160 * time.Second
	// reportsFrom is when reports stop in the runs with frozen reports.
	reportsFrom = 20 * time.Second
)

// reports delays, stops or falsifies the load reports between agents, and measures the
// imbalance.
func reports(seed uint64) *Result {
	faults := []Fault{
		nil,
		Lag{
			Delay: 10 * time.Second,
		},
		Freeze{
			Target: 0,
			From:   reportsFrom,
		},
		Freeze{
			Target: -1,
			From:   reportsFrom,
		},
		Misreport{
			Target: 0,
			Factor: 10,
		},
		Misreport{
			Target: 0,
			Factor: 0.1,
		},
	}
	sites := Sites()
	r := &Result{
		Name:   "reports",
		Header: []string{"Site", "Reports", "BusyMean", "BusyP99", "FlowsMean", "FlowsP99", "WaitP99Ms", "Goodput", "OffersPerRequest"},
	}
	runParallel(len(sites)*len(faults), func(i int) func() {
		site := sites[i/len(faults)]
		f := faults[i%len(faults)]
		w := constantLoad(imbalanceLoad, reportsEnd)
		s := run(site, Ibisfold{}, f, defaultOptions(), w.generate(site, seed), reportsEnd, seed)
		busy := imbalances(s.busyMeters(), 2*warmUpTime, reportsEnd)
		flows := imbalances(s.flowMeters(), 2*warmUpTime, reportsEnd)
		t := s.stats.total(2*warmUpTime, reportsEnd-deadline)
		name := "right"
		if f != nil {
			name = f.Name()
		}

		return func() {
			r.add(site.Name, name, mean(busy), quantile(busy, 0.99), mean(flows), quantile(flows, 0.99),
				milliseconds(t.waits, 99), share(t.good, t.offered), share(s.offers, len(s.trace.arrivals)))
		}
	})

	return r
}
