package experiment

import "time"

const (
	reportsEnd  = 160 * time.Second
	reportsFrom = 20 * time.Second
)

// reports makes the load reports between agents late, frozen or wrong.
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
		Lie{
			Target: 0,
			Factor: 10,
		},
		Lie{
			Target: 0,
			Factor: 0.1,
		},
	}
	sites := Sites()
	r := &Result{
		Name:   "reports",
		Header: []string{"Site", "Reports", "BusyMean", "BusyP99", "FlowsMean", "FlowsP99", "WaitP99Ms", "Goodput", "OffersPerRequest"},
	}
	rows := each(len(sites)*len(faults), func(i int) func() {
		site := sites[i/len(faults)]
		f := faults[i%len(faults)]
		w := steady(imbalanceLoad, reportsEnd)
		s := run(site, Ours{}, f, normal(), w.generate(site, seed), reportsEnd, seed)
		busy := imbalances(s.busyMeters(), 2*settle, reportsEnd)
		flows := imbalances(s.flowMeters(), 2*settle, reportsEnd)
		t := s.stats.total(2*settle, reportsEnd-deadline)
		name := "right"
		if f != nil {
			name = f.Name()
		}

		return func() {
			r.add(site.Name, name, mean(busy), quantile(busy, 0.99), mean(flows), quantile(flows, 0.99),
				milliseconds(t.waits, 99), share(t.good, t.offered), share(s.offers, len(s.trace.arrivals)))
		}
	})
	for _, add := range rows {
		add()
	}

	return r
}
