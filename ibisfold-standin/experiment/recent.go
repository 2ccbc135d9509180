package experiment

import "time"

// sampler measures imbalance over the last window, once per second.
type sampler struct {
	// totals holds the integral of each agent's busy slots at each second.
	totals [][]float64
}

// sample notes the current integrals and returns highest over mean of the busy
// slots of the agents in service over the last window.
func (p *sampler) sample(s *simulation) float64 {
	row := []float64{}
	for _, a := range s.agents {
		row = append(row, a.target.busy.total(s.Now))
	}
	p.totals = append(p.totals, row)
	old := p.totals[max(0, len(p.totals)-1-int(window/time.Second))]

	highest, sum, n := 0.0, 0.0, 0
	for i, a := range s.agents {
		if a.out {
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

// total is the integral of the count up to now.
func (m *meter) total(now time.Duration) float64 {
	m.flush(now)
	t := 0.0
	for _, v := range m.sums {
		t += v
	}

	return t
}

// spread returns highest over mean of the current counts.
func spread(meters []*meter) float64 {
	highest, sum := 0.0, 0.0
	for _, m := range meters {
		highest = max(highest, float64(m.count))
		sum += float64(m.count)
	}

	return highest * float64(len(meters)) / max(1, sum)
}
