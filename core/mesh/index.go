package mesh

import (
	"net/netip"
	"slices"
	"sort"

	"ibisfold.example/core/ticket"
)

const (
	// maxListed bounds the versions of a range that are listed instead of
	// hashed.
	maxListed = 8
	// rangesPerSplit is the number of ranges into which a differing range is
	// split.
	rangesPerSplit = 8
	// maxSummaryBytes keeps a summary within one datagram.
	maxSummaryBytes = 1000
)

// index holds the sorted versions of all held tickets with prefix hashes, so
// that the hash of any range takes two look-ups. It is rebuilt when it is used
// after a merge.
type index struct {
	valid    bool
	versions []ticket.Version
	// prefix[i] is the XOR of the hashes of the first i versions.
	prefix []uint64
	// agents are the sorted addresses of all agents in the state.
	agents      []netip.AddrPort
	agentsValid bool
}

// indexed returns the index and rebuilds it if necessary.
func (c *Core) indexed() *index {
	x := &c.index
	if x.valid {
		return x
	}

	x.valid = true
	x.versions = c.state.Versions()
	x.prefix = make([]uint64, 1, len(x.versions)+1)
	for i, v := range x.versions {
		x.prefix = append(x.prefix, x.prefix[i]^v.Sum())
	}

	return x
}

// agents returns the addresses of all agents in the state.
func (c *Core) agents() []netip.AddrPort {
	x := &c.index
	if x.agentsValid {
		return x.agents
	}

	x.agentsValid = true
	x.agents = nil
	for _, o := range c.state.Targets {
		if o.Value.Agent.IsValid() {
			x.agents = append(x.agents, o.Value.Agent)
		}
	}
	slices.SortFunc(x.agents, netip.AddrPort.Compare)

	return x.agents
}

func (c *Core) invalidateIndex() {
	c.index.valid = false
	c.index.agentsValid = false
}

// bounds returns the positions of the range from <= version < to.
func (x *index) bounds(from, to ticket.Version) (int, int) {
	lo := x.position(from)
	if to == (ticket.Version{}) {
		return lo, len(x.versions)
	}

	return lo, max(lo, x.position(to))
}

// position returns the position of the first version that is not less than v.
func (x *index) position(v ticket.Version) int {
	return sort.Search(len(x.versions), func(i int) bool {
		return !x.versions[i].Less(v)
	})
}

// hash returns the XOR of the hashes of the versions at positions lo to hi-1.
func (x *index) hash(lo, hi int) uint64 {
	return x.prefix[hi] ^ x.prefix[lo]
}

// describe appends descriptions of the versions with from <= version < to, the
// newest first: one list if they are few, and otherwise a list of the newest
// ones and hashed ranges of the rest.
func (x *index) describe(ranges []Range, from, to ticket.Version) []Range {
	lo, hi := x.bounds(from, to)
	if hi-lo <= maxListed {
		return append(ranges, x.listRange(lo, hi, from, to))
	}

	top := hi - maxListed
	cut := x.boundary(top)
	ranges = append(ranges, x.listRange(top, hi, cut, to))
	step := (top - lo + rangesPerSplit - 2) / (rangesPerSplit - 1)
	for top > lo {
		next := max(lo, top-step)
		first := x.boundary(next)
		if next == lo {
			first = from
		}
		ranges = append(ranges, Range{
			From:  first,
			To:    cut,
			Count: uint32(top - next),
			Hash:  x.hash(next, top),
		})
		cut = first
		top = next
	}

	return ranges
}

// boundary returns a version that separates position i from the one before. It
// leaves out the hash if the numbers differ, which is shorter on the wire.
func (x *index) boundary(i int) ticket.Version {
	v := x.versions[i]
	if i == 0 || x.versions[i-1].Number < v.Number {
		v.Hash = 0
	}

	return v
}

// listRange describes the versions at positions lo to hi-1 by a list.
func (x *index) listRange(lo, hi int, from, to ticket.Version) Range {
	return Range{
		From:  from,
		To:    to,
		Count: uint32(hi - lo),
		Hash:  x.hash(lo, hi),
		List:  true,
		Items: slices.Clone(x.versions[lo:hi]),
	}
}

// differs reports whether the core's tickets in the range of r differ from the
// sender's.
func (x *index) differs(r Range) bool {
	lo, hi := x.bounds(r.From, r.To)

	return uint32(hi-lo) != r.Count || x.hash(lo, hi) != r.Hash
}
