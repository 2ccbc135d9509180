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
// no improvement.
func (p *plateau) reached(mean time.Duration, patience int) bool {
	if p.best == 0 || float64(mean) < improvement*float64(p.best) {
		p.best = mean
		p.flat = 0
		p.usual = usualTime{}
		return false
	}
	p.flat++

	return p.flat >= patience
}
