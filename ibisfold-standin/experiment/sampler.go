package experiment

import "time"

// sampler measures the imbalance over the last window, once per second.
type sampler struct {
	// totals holds, for each sample, the integral of the busy slots of each agent.
	totals [][]float64
}

// sample records the current integrals. It returns the imbalance over the last window: the
// highest number of busy slots of an agent in service relative to the mean, or zero if all
// agents were idle.
func (p *sampler) sample(s *simulation) float64 {
	row := []float64{}
	for _, a := range s.agents {
		row = append(row, a.target.busy.total(s.Now))
	}
	p.totals = append(p.totals, row)
	old := p.totals[max(0, len(p.totals)-1-int(window/time.Second))]

	highest, sum, n := 0.0, 0.0, 0
	for i, a := range s.agents {
		if a.outOfService {
			continue
		}
		v := row[i] - old[i]
		highest = max(highest, v)
		sum += v
		n++
	}
	if sum == 0 {
		return 0
	}

	return highest * float64(n) / sum
}

// total returns the integral of the count up to now, in seconds.
func (m *meter) total(now time.Duration) float64 {
	m.flush(now)
	t := 0.0
	for _, v := range m.sums {
		t += v
	}

	return t
}

// currentImbalance returns the highest of the current counts relative to their mean.
func currentImbalance(meters []*meter) float64 {
	highest, sum := 0.0, 0.0
	for _, m := range meters {
		highest = max(highest, float64(m.count))
		sum += float64(m.count)
	}

	return highest * float64(len(meters)) / max(1, sum)
}
