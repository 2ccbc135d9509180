package entry

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"ibisfold.example/core/segment"
	"ibisfold.example/core/ticket"
)

const (
	// pointsPerSlot is the number of points on the hash ring per slot of a target,
	// so that its share of new flows is proportional to its slots. The shares
	// deviate by a fraction of about 1/sqrt(pointsPerSlot*slots); agents balance
	// that out.
	pointsPerSlot = 32
	// maxPoints bounds the number of points of one target.
	maxPoints = 512
	// minBuckets is the minimum number of buckets of a table.
	minBuckets = 128
)

// candidate is a target that may get new flows, as input for a table.
type candidate struct {
	choice
	slots   int
	suspect bool
}

// choice is the part of a candidate that is needed to forward a packet.
type choice struct {
	agent  netip.AddrPort
	target uint64
}

// table maps the hash of a flow to the targets of one service.
type table struct {
	service uint64
	// choices is sorted by target, so that all entries choose the same one.
	choices []choice
	// buckets holds for each range of hashes the index in choices of the target
	// for the first attempt. Its length is a power of two; it is empty without
	// candidates. With a two-byte index per bucket, the tables of 960 services fit
	// into the processor's second-level cache.
	buckets []uint16
}

func newTable(s ticket.Service, candidates []candidate) table {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(a.target, b.target)
	})
	t := table{
		service: ticket.ID(s.Name),
	}
	if len(candidates) == 0 {
		return t
	}

	for _, c := range candidates {
		t.choices = append(t.choices, c.choice)
	}
	points := ringPoints(candidates)
	t.buckets = make([]uint16, bucketCount(len(points)))
	next := 0
	for i := range t.buckets {
		for next < len(points) && points[next].position < uint64(i)<<t.shift() {
			next++
		}
		t.buckets[i] = successor(candidates, points, next)
	}

	return t
}

// bucketCount returns the number of buckets, a power of two with at most two
// points per bucket on average. Smaller buckets take more cache and gain little,
// because agents balance out the distribution of new flows.
func bucketCount(points int) int {
	n := minBuckets
	for 2*n < points {
		n *= 2
	}

	return n
}

// shift returns the number of bits by which a 64-bit hash is shifted right to get
// its bucket.
func (t *table) shift() int {
	return 64 - bits.TrailingZeros(uint(len(t.buckets)))
}

// point is one position of a target on the consistent-hashing ring.
type point struct {
	position uint64
	index    uint16
}

// ringPoints places the candidates on the ring. The positions of a target depend
// only on its ID, so a target that leaves moves only its own share of new flows.
func ringPoints(candidates []candidate) []point {
	points := []point{}
	for i, c := range candidates {
		for k := range min(max(c.slots, 1)*pointsPerSlot, maxPoints) {
			points = append(points, point{
				position: segment.Mix(segment.Mix(c.target) + uint64(k)),
				index:    uint16(i),
			})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Compare(a.position, b.position)
	})

	return points
}

// successor returns the index of the first candidate from points[next] on that is
// not suspected. A suspicion may be wrong, so if all are suspected, it returns
// the first one.
func successor(candidates []candidate, points []point, next int) uint16 {
	for i := range points {
		c := points[(next+i)%len(points)].index
		if !candidates[c].suspect {
			return c
		}
	}

	return points[next%len(points)].index
}

// pick returns the target for an attempt to open a flow; the second result is
// false without candidates. Repeated attempts go through all other targets,
// starting at one that the hash of the flow selects.
func (t *table) pick(flow uint64, attempt uint32) (*choice, bool) {
	n := uint32(len(t.choices))
	if n == 0 {
		return nil, false
	}

	h := segment.Mix(flow)
	first := uint32(t.buckets[h>>t.shift()])
	if attempt == 0 || n == 1 {
		return &t.choices[first], true
	}
	skip := 1 + (uint32(h)%(n-1)+attempt-1)%(n-1)

	return &t.choices[(first+skip)%n], true
}
