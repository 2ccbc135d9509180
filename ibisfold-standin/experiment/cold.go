package experiment

import "time"

const coldEnd = 180 * time.Second

// cold lets targets restart or become cold without notice while 70% load goes
// on, and counts the work above what a cold target bears.
func cold(seed uint64) *Result {
	type job struct {
		site   Site
		name   string
		option options
		chill  bool
	}
	jobs := []job{}
	for _, s := range Sites() {
		for _, kind := range []string{"cold at start", "restart every 10 s", "unannounced every 10 s"} {
			for _, n := range []int{30, usualWarmAfter, 300, 0} {
				o := normal()
				o.noLimit = n == 0
				o.warmAfter = n
				o.cold = kind == "cold at start"
				jobs = append(jobs, job{
					site:   s,
					name:   kind,
					option: o,
					chill:  kind == "unannounced every 10 s",
				})
			}
		}
	}
	r := &Result{
		Name:   "cold",
		Header: []string{"Site", "Event", "WarmAfterAnswers", "Limiter", "Beyond", "BeyondBeforeAnySign", "Falls", "Goodput", "OutcomeUnknown"},
	}
	rows := each(len(jobs), func(i int) func() {
		j := jobs[i]
		w := steady(0.7, coldEnd)
		s := run(j.site, Ours{}, nil, j.option, w.generate(j.site, seed), coldEnd, seed, func(s *simulation) {
			if !j.option.cold {
				s.disturb(j.chill)
			}
		})
		t := s.stats.total(settle, coldEnd-deadline)
		beyond, unknowable, falls := s.falls()

		return func() {
			r.add(j.site.Name, j.name, warmAfterOf(j.option), !j.option.noLimit, beyond, unknowable, falls,
				share(t.good, t.offered), share(t.failed, t.offered))
		}
	})
	for _, add := range rows {
		add()
	}

	return r
}

// disturb makes one random target cold every 10 s.
func (s *simulation) disturb(chill bool) {
	s.Every(settle, 10*time.Second, func() {
		t := s.agents[s.random.IntN(len(s.agents))].target
		if chill {
			t.chill()
			return
		}
		t.fall(restartTime)
		t.falls--
	})
}

func warmAfterOf(o options) int {
	if o.warmAfter == 0 {
		return usualWarmAfter
	}

	return o.warmAfter
}
