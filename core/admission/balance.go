package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// movedShareGain is the change of the moved share per second and unit of
	// difference between the utilisation of this agent's target and the mean of
	// the group.
	movedShareGain = 0.5
	// movedShareDecay is the rate per second at which the moved share shrinks, so
	// that a small constant error of the group's mean can't drive it to
	// maxMovedShare.
	movedShareDecay = 0.01
	// maxMovedShare bounds the share of this agent's requests that it moves to
	// peers while its own target has room.
	maxMovedShare = 0.9
	// minHeadroomShare is the least share of a peer's capacity that counts as
	// headroom when this agent's own target is full, so that a peer that always
	// reports that it is full still gets offers.
	minHeadroomShare = 0.05
)

// Balance chooses which agent of a group runs a request or owns a flow. Reports
// of peers are up to 1 s old and may be wrong, so this agent's own observations
// (free slots, refused offers) take precedence. The zero value is ready to use.
type Balance struct {
	// movedShare is the share of this agent's requests that it moves to peers.
	movedShare float64
	updated    time.Duration
	// own counts how often this agent's own target would have refused an offer.
	own   offerStats
	peers map[uint64]*offerStats
}

// Refused records that a peer refused an offer or did not answer it.
func (b *Balance) Refused(now time.Duration, target uint64) {
	b.peer(target).addRefusal(now)
}

// PickRequest returns the index of the peer that should run a request, or -1 for
// this agent's own target. A returned peer is recorded as having accepted an
// offer; Refused corrects the record if it did not.
func (b *Balance) PickRequest(now time.Duration, own Load, peers []Load, r *rand.Rand) int {
	full := own.Draining || own.Running+own.Waiting >= int(own.capacity())
	b.own.addOffer(now)
	if !own.acceptsOffer() {
		b.own.addRefusal(now)
	}
	ratios := b.utilisations(now, own, peers)
	mean := meanUtilisation(own, peers, ratios)
	b.adjustMovedShare(now, own.busy()/own.capacity()-mean)

	i := -1
	switch {
	case full:
		i = b.pickWhenFull(now, own, peers, ratios, r)
	case r.Float64() < b.movedShare:
		i = chooseWeighted(headrooms(peers, ratios, mean, 0), r)
	}
	if i >= 0 {
		b.peer(peers[i].Target).addOffer(now)
	}

	return i
}

// pickWhenFull chooses a peer with headroom. If no peer reports any and the
// request would wait less than one service time, it returns -1. If the wait is
// longer, any peer may be better, because the request's tenant may have nothing
// waiting there.
func (b *Balance) pickWhenFull(now time.Duration, own Load, peers []Load, ratios []float64, r *rand.Rand) int {
	weights := headrooms(peers, ratios, 1, minHeadroomShare)
	if float64(own.Waiting) < own.capacity() && totalWeight(weights) <= minHeadroomShare*own.capacity()*float64(len(peers)) {
		return -1
	}
	for i, p := range peers {
		weights[i] *= b.peer(p.Target).weight(now)
	}

	return chooseWeighted(weights, r)
}

// adjustMovedShare integrates the excess of the utilisation of the agent's own
// target over the group's mean into the moved share.
func (b *Balance) adjustMovedShare(now time.Duration, excess float64) {
	d := min(now-b.updated, time.Second).Seconds()
	b.updated = now
	b.movedShare += d * (movedShareGain*excess - movedShareDecay*b.movedShare)
	b.movedShare = max(0, min(maxMovedShare, b.movedShare))
}

// utilisations returns the estimated utilisation of each peer: the reported one,
// clamped to the bounds that the answers to earlier offers allow.
func (b *Balance) utilisations(now time.Duration, own Load, peers []Load) []float64 {
	ratios := make([]float64, len(peers))
	ownUtilisation := own.busy() / own.capacity()
	for i, p := range peers {
		ratios[i] = p.busy() / p.capacity()
		s, ok := b.peers[p.Target]
		if !ok {
			continue
		}
		low, high := s.utilisationBounds(now, ownUtilisation, &b.own)
		ratios[i] = max(0, min(1, max(low, min(high, ratios[i]))))
	}

	return ratios
}

func (b *Balance) peer(target uint64) *offerStats {
	if b.peers == nil {
		b.peers = map[uint64]*offerStats{}
	}
	s, ok := b.peers[target]
	if !ok {
		s = &offerStats{}
		b.peers[target] = s
	}

	return s
}

// headrooms returns for each peer how many more requests fit below a level of
// utilisation, at least minShare of its capacity. It is zero for a draining peer.
func headrooms(peers []Load, ratios []float64, level, minShare float64) []float64 {
	headrooms := make([]float64, len(peers))
	for i, p := range peers {
		if !p.Draining {
			headrooms[i] = p.capacity() * max(minShare, level-ratios[i])
		}
	}

	return headrooms
}
