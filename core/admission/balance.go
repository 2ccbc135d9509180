package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// shiftGain is how fast the moved share of requests follows the difference
	// between the own utilisation and the group's, per second.
	shiftGain = 0.5
	// shiftLeak is how fast the moved share shrinks, per second, so that a wrong
	// level of the group can't drive it to shiftMax.
	shiftLeak = 0.01
	// shiftMax bounds the moved share.
	shiftMax = 0.9
	// explore is the least share of a peer's capacity that counts as room when the
	// own target is full, so that a peer that always claims to be full gets offers.
	explore = 0.05
)

// Balance chooses which agent of a group runs a request or owns a flow. Reports
// of peers are up to 1 s old and may be wrong, so own observations (free slots,
// refused offers) come first. The zero value works.
type Balance struct {
	// shift is the share of the own requests that is moved.
	shift float64
	last  time.Duration
	// own counts how often the own target would have refused an offer.
	own   evidence
	peers map[uint64]*evidence
}

// Refused notes that a peer refused an offer or did not answer it.
func (b *Balance) Refused(now time.Duration, target uint64) {
	b.peer(target).refuse(now)
}

// PickRequest returns the index of the peer that should run a request, or -1
// for the own target. It counts as an offer to that peer; Refused takes back
// what it suggests of the peer's load.
func (b *Balance) PickRequest(now time.Duration, own Load, peers []Load, r *rand.Rand) int {
	full := own.Draining || own.Running+own.Waiting >= int(own.capacity())
	b.own.offer(now)
	if !own.welcomes() {
		b.own.refuse(now)
	}
	ratios := b.utilisations(now, own, peers)
	level := meanRatio(own, peers, ratios)
	b.follow(now, own.busy()/own.capacity()-level)

	i := -1
	switch {
	case full:
		i = b.pickFull(now, own, peers, ratios, r)
	case r.Float64() < b.shift:
		i = choose(rooms(peers, ratios, level, 0), r)
	}
	if i >= 0 {
		b.peer(peers[i].Target).offer(now)
	}

	return i
}

// pickFull chooses a peer with a free slot. If none seems to have one and the
// request would wait a whole service time, any peer may be better: the request's
// tenant may have nothing waiting there.
func (b *Balance) pickFull(now time.Duration, own Load, peers []Load, ratios []float64, r *rand.Rand) int {
	weights := rooms(peers, ratios, 1, explore)
	if float64(own.Waiting) < own.capacity() && total(weights) <= explore*own.capacity()*float64(len(peers)) {
		return -1
	}
	for i, p := range peers {
		weights[i] *= b.peer(p.Target).trust(now)
	}

	return choose(weights, r)
}

// follow adjusts the moved share to the difference in utilisation.
func (b *Balance) follow(now time.Duration, excess float64) {
	d := min(now-b.last, time.Second).Seconds()
	b.last = now
	b.shift += d * (shiftGain*excess - shiftLeak*b.shift)
	b.shift = max(0, min(shiftMax, b.shift))
}

// utilisations returns what to believe of each peer: its report, within the
// bounds that the answers to own offers allow.
func (b *Balance) utilisations(now time.Duration, own Load, peers []Load) []float64 {
	ratios := make([]float64, len(peers))
	reference := own.busy() / own.capacity()
	for i, p := range peers {
		ratios[i] = p.busy() / p.capacity()
		e, ok := b.peers[p.Target]
		if !ok {
			continue
		}
		low, high := e.bounds(now, reference, &b.own)
		ratios[i] = max(0, min(1, max(low, min(high, ratios[i]))))
	}

	return ratios
}

func (b *Balance) peer(target uint64) *evidence {
	if b.peers == nil {
		b.peers = map[uint64]*evidence{}
	}
	e, ok := b.peers[target]
	if !ok {
		e = &evidence{}
		b.peers[target] = e
	}

	return e
}

// rooms returns for each peer the requests that it may take up to a level of
// utilisation, at least the share least of its capacity.
func rooms(peers []Load, ratios []float64, level, least float64) []float64 {
	rooms := make([]float64, len(peers))
	for i, p := range peers {
		if !p.Draining {
			rooms[i] = p.capacity() * max(least, level-ratios[i])
		}
	}

	return rooms
}
