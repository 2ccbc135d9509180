package admission

import "time"

// plateau detects when the service of a cold target whose baseline is unknown or
// no longer holds stops getting faster.
type plateau struct {
	// baseline is learned from the answers after the last batch that was faster or
	// much slower than the best.
	baseline serviceBaseline
	// best is the mean of that batch, unimproved the number of batches since then.
	best       time.Duration
	unimproved int
}

func (p *plateau) learn(took time.Duration) {
	p.baseline.learn(took)
}

// addBatch ends a batch with the given mean and reports whether minBatches
// batches in a row were neither faster nor much slower than the best. A much
// slower batch means that the target became cold again while it was warming up.
func (p *plateau) addBatch(mean time.Duration, minBatches int) bool {
	change := float64(mean) / max(1, float64(p.best))
	if p.best == 0 || change < improvementFactor || change > coldRestartFactor {
		p.best = mean
		p.unimproved = 0
		p.baseline = serviceBaseline{}
		return false
	}
	p.unimproved++

	return p.unimproved >= minBatches
}
