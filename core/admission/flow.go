package admission

import "math/rand/v2"

// PickFlow returns the index of the peer that should own a new flow, or -1 for
// the own target. Only the excess share of the flows is passed on, so that
// agents with equally old reports do not all choose the same peer.
func (b *Balance) PickFlow(own Load, peers []Load, r *rand.Rand) int {
	flows := 0.0
	capacity := 0.0
	if !own.Draining {
		flows = float64(own.Flows)
		capacity = own.capacity()
	}
	for _, p := range peers {
		if !p.Draining {
			flows += float64(max(0, p.Flows))
			capacity += p.capacity()
		}
	}
	if capacity == 0 {
		return -1
	}
	level := (flows + 1) / capacity

	room := level*own.capacity() - float64(own.Flows)
	if !own.Draining && room > 0 {
		return -1
	}
	weights := make([]float64, len(peers))
	for i, p := range peers {
		if !p.Draining {
			weights[i] = max(0, level*p.capacity()-float64(p.Flows))
		}
	}

	return choose(weights, r)
}
