package admission

import "time"

// plateau watches a cold target whose usual service time is unknown or no
// longer holds, until its service gets no faster.
type plateau struct {
	// usual is learned since the last improvement.
	usual usualTime
	// best is the lowest mean of a batch, flat the batches since then.
	best time.Duration
	flat int
}

func (p *plateau) learn(took time.Duration) {
	p.usual.learn(took)
}

// reached ends a batch and reports whether as many batches as patience showed
// neither improvement nor setback. A setback means that the target fell cold
// again while it was warming up.
func (p *plateau) reached(mean time.Duration, patience int) bool {
	change := float64(mean) / max(1, float64(p.best))
	if p.best == 0 || change < improvement || change > setback {
		p.best = mean
		p.flat = 0
		p.usual = usualTime{}
		return false
	}
	p.flat++

	return p.flat >= patience
}
