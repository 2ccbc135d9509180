package experiment

import (
	"fmt"
	"time"
)

const (
	zoneLoad = 0.6
	// zoneOut is when the zone is taken out of service, zoneBack when it returns.
	zoneOut  = 40 * time.Second
	zoneBack = 90 * time.Second
	zoneEnd  = 180 * time.Second
)

// zone takes a zone out of service and returns it later, with all its targets cold. It measures
// the flows and requests that are lost, and the time until the load is balanced again.
func zone(seed uint64) *Result {
	type job struct {
		site   Site
		zone   int
		policy Policy
	}
	jobs := []job{}
	for _, s := range Sites() {
		for _, p := range Policies()[:5] {
			jobs = append(jobs, job{
				site:   s,
				zone:   1,
				policy: p,
			})
		}
	}
	r := &Result{
		Name:   "zone",
		Header: []string{"Site", "ZoneTargets", "Policy", "FlowsReset", "OutcomeUnknown", "NotRun", "Goodput", "SecondsAfterOut", "SecondsAfterBack", "FlowSecondsAfterBack", "Beyond"},
		XLabel: "seconds (hire-desk, zone out at 40 s and back at 90 s)",
		YLabel: "highest over mean of busy slots in 10 s",
	}
	runParallel(len(jobs), func(i int) func() {
		j := jobs[i]
		w := constantLoad(zoneLoad, zoneEnd)
		reset, size := 0, 0
		out, back := -1.0, -1.0
		flowsBack := -1.0
		l := Line{
			Name: j.policy.Name(),
		}
		s := run(j.site, j.policy, nil, defaultOptions(), w.generate(j.site, seed), zoneEnd, seed, func(s *simulation) {
			s.At(zoneOut, func() {
				reset, size = s.zoneOut(j.zone)
			})
			s.At(zoneBack, func() {
				s.zoneBack(j.zone)
			})
			p := &sampler{}
			s.Every(time.Second, time.Second, func() {
				v := p.sample(s)
				l.X = append(l.X, s.Now.Seconds())
				l.Y = append(l.Y, v)
				out = firstBalanced(out, v, s.Now, zoneOut, zoneBack)
				back = firstBalanced(back, v, s.Now, zoneBack, zoneEnd)
				flowsBack = firstBalanced(flowsBack, currentImbalance(s.flowMeters()), s.Now, zoneBack, zoneEnd)
			})
		})
		t := s.stats.total(zoneOut-deadline, zoneEnd-deadline)
		signalledOverruns, _, _ := s.crashes()

		return func() {
			r.add(j.site.Name, fmt.Sprintf("%d of %d", size, len(j.site.Speeds)), j.policy.Name(), reset,
				t.failed, t.refused, share(t.good, t.offered), out, back, flowsBack, signalledOverruns)
			if j.site.Name == "hire-desk" {
				r.Lines = append(r.Lines, l)
			}
		}
	})

	return r
}

// firstBalanced is called with each sample v of the imbalance, taken at the time at, and finds
// the first one between from and to that is below 1.2. It returns the seconds from from to that
// sample. The argument known is the result for the previous samples, or negative if none of them
// was balanced; it is returned until a sample is balanced, and from then on. Samples less than a
// second after from are ignored, because they describe the time before.
func firstBalanced(known, v float64, at, from, to time.Duration) float64 {
	if known >= 0 || at < from+time.Second || at > to || v >= 1.2 {
		return known
	}

	return (at - from).Seconds()
}

// zoneOut takes a zone out of service. Its flows are reset, and callers open them again at
// once; its targets restart cold. It returns the number of reset flows and of targets.
func (s *simulation) zoneOut(z int) (flows, targets int) {
	for _, a := range s.agents {
		if a.zone != z {
			continue
		}
		targets++
		a.outOfService = true
		for _, q := range a.running {
			s.fail(q)
		}
		a.running = nil
		a.recordRunning()
		for {
			q, ok := a.queue.Pop(s.Now)
			if !ok {
				break
			}
			s.refuse(q, 0)
		}
		a.target.crash(restartDelay)
		// The planned restart does not count as a crash.
		a.target.crashes--
	}
	for i := range s.trace.flows[:s.scheduledFlows] {
		f := &s.trace.flows[i]
		if f.owner != nil && f.owner.outOfService {
			flows++
			f.owner.setFlows(-1)
			s.open(f)
		}
	}

	return flows, targets
}

// zoneBack returns a zone to service.
func (s *simulation) zoneBack(z int) {
	for _, a := range s.agents {
		if a.zone == z {
			a.outOfService = false
		}
	}
}
