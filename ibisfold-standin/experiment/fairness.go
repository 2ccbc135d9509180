package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	fairnessEnd = 120 * time.Second
	// fairnessFactor is the factor by which the heavy tenant exceeds its share.
	fairnessFactor = 10
)

// fairness lets one of five tenants send fairnessFactor times its share, and compares the
// goodput and latency of the other four with a run in which all tenants are equal.
func fairness(seed uint64) *Result {
	sites := Sites()
	r := &Result{
		Name:   "fairness",
		Header: []string{"Site", "Load", "Others", "Goodput", "LatencyP50Ms", "LatencyP99Ms", "GoodputLoss", "P99Growth"},
	}
	loads := []float64{0.5, 0.7}
	runParallel(len(sites)*len(loads), func(i int) func() {
		site := sites[i/len(loads)]
		load := loads[i%len(loads)]
		good, p50, p99 := [2]float64{}, [2]float64{}, [2]float64{}
		for k, heavy := range []float64{1, fairnessFactor} {
			w := constantLoad(load, fairnessEnd)
			w.Heavy = heavy
			s := run(site, Ibisfold{}, nil, defaultOptions(), w.generate(site, seed), fairnessEnd, seed)
			h, g, o := s.stats.others(0)
			good[k] = share(g, o)
			p50[k] = milliseconds(h, 50)
			p99[k] = milliseconds(h, 99)
		}

		return func() {
			r.add(site.Name, load, "all tenants equal", good[0], p50[0], p99[0], "", "")
			r.add(site.Name, load, "one tenant at tenfold", good[1], p50[1], p99[1], 1-good[1]/good[0], p99[1]/p99[0]-1)
		}
	})

	return r
}

// others adds up all tenants except one.
func (s *stats) others(except int) (latency *hdrhistogram.Histogram, good, offered int) {
	latency = newHistogram()
	for n, t := range s.tenants {
		if n != except {
			latency.Merge(t.latency)
			good += t.good
			offered += t.offered
		}
	}

	return latency, good, offered
}
