package admission

import "math/rand/v2"

const (
	// maxPassedShare bounds the share of new flows that an agent passes on to
	// peers, because many flows may open at once: reports from a second ago then
	// show peers without flows, and the peer with the oldest report would get all
	// of them.
	maxPassedShare = 0.5
	// passedShareGain is the ratio of the passed share to the excess, which is the
	// part of the target's flows per slot that is above the group's mean.
	passedShareGain = 20
)

// PickFlow returns the index of the peer that should own a new flow, or -1 for
// this agent's own target. A target passes on flows only while it has more of
// them per slot than the group's mean. The peer is chosen at random in proportion
// to its headroom, so that agents with equally old reports do not all choose the
// same peer. A draining target passes on every flow if it has a peer.
//
// Flows are compared by slots and not by the current limit: they outlive a cold
// start, and their requests can be moved to peers meanwhile.
func (b *Balance) PickFlow(own Load, peers []Load, r *rand.Rand) int {
	own = own.withAllSlots()
	all := make([]Load, len(peers))
	ratios := make([]float64, len(peers))
	for i, p := range peers {
		all[i] = p.withAllSlots()
		ratios[i] = float64(max(0, p.Flows)) / all[i].capacity()
	}
	ownRatio := float64(own.Flows) / own.capacity()
	mean := clippedMean(own, all, ownRatio, ratios)
	if !own.Draining && ownRatio <= mean {
		return -1
	}
	if !own.Draining && r.Float64() >= min(maxPassedShare, passedShareGain*(ownRatio-mean)/max(ownRatio, 1)) {
		return -1
	}
	if i := chooseWeighted(headrooms(all, ratios, mean, 0), r); i >= 0 || !own.Draining {
		return i
	}

	return lowestRatio(all, ratios)
}

// withAllSlots returns the load with the limit raised to all slots.
func (l Load) withAllSlots() Load {
	l.Limit = l.Slots

	return l
}

// lowestRatio returns the index of the peer with the lowest ratio among those
// that are not draining, or -1 if all are.
func lowestRatio(peers []Load, ratios []float64) int {
	best := -1
	for i, p := range peers {
		if !p.Draining && (best < 0 || ratios[i] < ratios[best]) {
			best = i
		}
	}

	return best
}
