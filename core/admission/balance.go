package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// shiftGain is how fast the moved share of requests follows the difference
	// between the own utilisation and the group's, per second.
	shiftGain = 0.5
	// shiftMax bounds the moved share.
	shiftMax = 0.9
	// refusalHalfLife is the time after which a refused offer counts half.
	refusalHalfLife = time.Second
)

// Balance chooses which agent of a group runs a request or owns a flow. Reports
// of peers are up to 1 s old and may be wrong, so own observations (free slots,
// refused offers) come first. The zero value works.
type Balance struct {
	// shift is the share of the own requests that is moved.
	shift float64
	last  time.Duration
	peers map[uint64]*peerView
}

// peerView is what this agent has seen of a peer itself.
type peerView struct {
	// refusals is the decayed number of refused offers.
	refusals float64
	last     time.Duration
}

// Refused notes that a peer refused an offer or did not answer it.
func (b *Balance) Refused(now time.Duration, target uint64) {
	if b.peers == nil {
		b.peers = map[uint64]*peerView{}
	}
	p, ok := b.peers[target]
	if !ok {
		p = &peerView{}
		b.peers[target] = p
	}
	p.refusals = p.refusals*decay(now-p.last, refusalHalfLife) + 1
	p.last = now
}

// PickRequest returns the index of the peer that should run a request, or -1
// for the own target. The caller may set own.Waiting to Queue.Ahead of the
// request's tenant.
func (b *Balance) PickRequest(now time.Duration, own Load, peers []Load, r *rand.Rand) int {
	mean := meanUtilisation(own, peers)
	b.follow(now, own.busy()/own.capacity()-mean)

	full := own.Draining || own.Running+own.Waiting >= int(own.capacity())
	switch {
	case full:
		return b.pickFull(now, own, peers, r)
	case r.Float64() < b.shift:
		return b.pick(now, peers, mean, r)
	default:
		return -1
	}
}

// pickFull chooses a peer with a free slot. If none seems to have one and the
// request would wait a whole service time, any peer may be better: the request's
// tenant may have nothing waiting there.
func (b *Balance) pickFull(now time.Duration, own Load, peers []Load, r *rand.Rand) int {
	if i := b.pick(now, peers, 1, r); i >= 0 {
		return i
	}
	if float64(own.Waiting) < own.capacity() {
		return -1
	}
	weights := make([]float64, len(peers))
	for i, p := range peers {
		if !p.Draining {
			weights[i] = b.trust(now, p.Target)
		}
	}

	return choose(weights, r)
}

// follow adjusts the moved share to the difference in utilisation.
func (b *Balance) follow(now time.Duration, excess float64) {
	d := min(now-b.last, time.Second).Seconds()
	b.last = now
	b.shift = max(0, min(shiftMax, b.shift+shiftGain*d*excess))
}

// pick chooses among the peers whose utilisation is below level, weighted by
// the room that they have up to it.
func (b *Balance) pick(now time.Duration, peers []Load, level float64, r *rand.Rand) int {
	weights := make([]float64, len(peers))
	for i, p := range peers {
		if p.Draining {
			continue
		}
		room := level*p.capacity() - p.busy()
		weights[i] = max(0, room) * b.trust(now, p.Target)
	}

	return choose(weights, r)
}

// trust is the factor by which refusals of a peer reduce its weight.
func (b *Balance) trust(now time.Duration, target uint64) float64 {
	p, ok := b.peers[target]
	if !ok {
		return 1
	}

	return 1 / (1 + p.refusals*decay(now-p.last, refusalHalfLife))
}

func meanUtilisation(own Load, peers []Load) float64 {
	busy := own.busy()
	capacity := own.capacity()
	for _, p := range peers {
		if !p.Draining {
			busy += p.busy()
			capacity += p.capacity()
		}
	}

	return busy / capacity
}
