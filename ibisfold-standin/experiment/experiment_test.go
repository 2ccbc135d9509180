package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/simclock"
)

const testEnd = 30 * time.Second

// Guards against results that depend on anything but the inputs and the seed.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	site := eisweinruf("rufdienst", 7)
	w := constantLoad(0.9, testEnd)
	w.Bursts = true
	runOnce := func(seed uint64) (periodStats, int, []float64) {
		s := run(site, Ibisfold{}, nil, defaultOptions(), w.generate(site, seed), testEnd, seed)

		return s.stats.total(0, testEnd), s.offers, imbalances(s.busyMeters(), 0, testEnd)
	}
	a, offersA, busyA := runOnce(7)
	b, offersB, busyB := runOnce(7)
	is.Equal(a, b)
	is.Equal(offersA, offersB)
	is.Equal(busyA, busyB)
	c, _, _ := runOnce(8)
	is.True(a.offered != c.offered)
}

// Guards against generated arrivals whose rate, share of a tenant or bursts differ from those
// of the workload.
func TestWorkload(t *testing.T) {
	is := is.New(t)
	site := ulaanbaatar("hire-desk", 7)
	w := constantLoad(0.7, 100*time.Second)
	w.Bursts = true
	w.Heavy = 10
	tr := w.generate(site, 1)
	want := 0.7 * site.capacity() * 100
	heavy, burst := 0.0, 0.0
	for _, v := range tr.arrivals {
		if tr.flows[v.flow].tenant == 0 {
			heavy++
		}
		if v.at%(10*time.Second) < time.Second {
			burst++
		}
	}
	all := float64(len(tr.arrivals))
	is.True(heavy > 0.95*want*2 && heavy < 1.05*want*2)
	is.True(all-heavy > 0.95*want*0.8 && all-heavy < 1.05*want*0.8)
	is.True(burst > 0.95*0.2*all && burst < 1.05*0.2*all)
}

// Guards against a simulated target that tolerates more requests than it can run, which would
// hide faults of the limiter.
func TestOverloadedTargetCrashes(t *testing.T) {
	is := is.New(t)
	c := &simclock.Clock{}
	x := &target{
		clock:         c,
		site:          eisweinruf("rufdienst", 1),
		speed:         1,
		warmAfter:     defaultWarmAfter,
		coldSignalled: true,
	}
	q := &request{
		serviceFactor: 1,
	}
	answers := 0
	done := func(r outcome, _ uint64) {
		if r == answered {
			answers++
		}
	}
	x.start(q, done)
	x.start(q, done)
	is.Equal(x.signalledOverruns, 1)
	is.True(x.down)
	c.RunUntil(10 * time.Second)
	is.Equal(answers, 0)
	is.True(!x.down)
	for range defaultWarmAfter {
		x.start(q, done)
		c.RunUntil(c.Now + time.Second)
	}
	is.Equal(x.maxRunning(), 2)
	is.Equal(answers, defaultWarmAfter)
}

// Guards against requests that the simulation loses. Each request is answered, refused or
// failed, even if targets restart.
func TestEveryRequestHasAnOutcome(t *testing.T) {
	site := ulaanbaatar("sheet-print", 3)
	w := constantLoad(2, testEnd)
	for _, p := range Policies() {
		t.Run(p.Name(), func(t *testing.T) {
			is := is.New(t)
			s := run(site, p, nil, defaultOptions(), w.generate(site, 1), testEnd+10*time.Second, 1, func(s *simulation) {
				s.scheduleColdStarts(false)
			})
			x := s.stats.total(0, testEnd)
			is.Equal(x.offered, int(x.waits.TotalCount())+x.refused+x.failed)
		})
	}
}
