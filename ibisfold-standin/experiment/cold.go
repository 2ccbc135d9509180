package experiment

import "time"

const coldEnd = 180 * time.Second

// cold starts targets cold, restarts them, or makes them cold without a signal, under a
// constant load of 70%. It counts the requests above what a cold target can run, with and
// without the limiter.
func cold(seed uint64) *Result {
	type job struct {
		site        Site
		name        string
		option      options
		resetWarmUp bool
	}
	jobs := []job{}
	for _, s := range Sites() {
		for _, kind := range []string{"cold at start", "restart every 10 s", "unannounced every 10 s"} {
			for _, n := range []int{30, defaultWarmAfter, 300, 0} {
				o := defaultOptions()
				o.noLimit = n == 0
				o.warmAfter = n
				o.cold = kind == "cold at start"
				jobs = append(jobs, job{
					site:        s,
					name:        kind,
					option:      o,
					resetWarmUp: kind == "unannounced every 10 s",
				})
			}
		}
	}
	r := &Result{
		Name:   "cold",
		Header: []string{"Site", "Event", "WarmAfterAnswers", "Limiter", "Beyond", "BeyondBeforeAnySign", "Falls", "Goodput", "OutcomeUnknown"},
	}
	runParallel(len(jobs), func(i int) func() {
		j := jobs[i]
		w := constantLoad(0.7, coldEnd)
		s := run(j.site, Ibisfold{}, nil, j.option, w.generate(j.site, seed), coldEnd, seed, func(s *simulation) {
			if !j.option.cold {
				s.scheduleColdStarts(j.resetWarmUp)
			}
		})
		t := s.stats.total(warmUpTime, coldEnd-deadline)
		signalledOverruns, unsignalledOverruns, crashes := s.crashes()

		return func() {
			r.add(j.site.Name, j.name, warmAfterOf(j.option), !j.option.noLimit, signalledOverruns, unsignalledOverruns, crashes,
				share(t.good, t.offered), share(t.failed, t.offered))
		}
	})

	return r
}

// scheduleColdStarts makes a random target cold every 10 s: by a restart, or without a signal
// if resetWarmUp is set.
func (s *simulation) scheduleColdStarts(resetWarmUp bool) {
	s.Every(warmUpTime, 10*time.Second, func() {
		t := s.agents[s.random.IntN(len(s.agents))].target
		if resetWarmUp {
			t.resetWarmUp()
			return
		}
		t.crash(restartDelay)
		// A planned restart does not count as a crash.
		t.crashes--
	})
}

// warmAfterOf returns the number of answers after which targets are warm.
func warmAfterOf(o options) int {
	if o.warmAfter == 0 {
		return defaultWarmAfter
	}

	return o.warmAfter
}
