package admission

import "math/rand/v2"

const (
	// passMost bounds the share of new flows that an agent passes on, passGain is
	// that share over the excess of flows. When many flows open at once, reports
	// of a second ago say that others have none, and the peer with the oldest
	// report would get them all.
	passMost = 0.5
	passGain = 20
)

// PickFlow returns the index of the peer that should own a new flow, or -1 for
// the own target. Only flows above the group's mean are passed on, to a peer in
// proportion to its room, so that agents with equally old reports do not all
// choose the same peer. A draining target passes on every flow if it has a peer.
//
// Flows are counted by slots and not by the limit of the moment: they outlive a
// cold start, and their requests can be moved meanwhile.
func (b *Balance) PickFlow(own Load, peers []Load, r *rand.Rand) int {
	own = own.whole()
	all := make([]Load, len(peers))
	ratios := make([]float64, len(peers))
	for i, p := range peers {
		all[i] = p.whole()
		ratios[i] = float64(max(0, p.Flows)) / all[i].capacity()
	}
	mine := float64(own.Flows) / own.capacity()
	level := clippedMean(own, all, mine, ratios)
	if !own.Draining && mine <= level {
		return -1
	}
	if !own.Draining && r.Float64() >= min(passMost, passGain*(mine-level)/max(mine, 1)) {
		return -1
	}
	if i := choose(rooms(all, ratios, level, 0), r); i >= 0 || !own.Draining {
		return i
	}

	return lowest(all, ratios)
}

// whole returns the load of a target with all slots in use.
func (l Load) whole() Load {
	l.Limit = l.Slots

	return l
}

// lowest returns the index of the peer with the lowest ratio that does not
// drain, or -1.
func lowest(peers []Load, ratios []float64) int {
	best := -1
	for i, p := range peers {
		if !p.Draining && (best < 0 || ratios[i] < ratios[best]) {
			best = i
		}
	}

	return best
}
