package mesh

import (
	"net/netip"
	"slices"
	"time"
)

// fetchTick expires chunk requests and sends new ones.
func (c *Core) fetchTick() {
	for _, t := range slices.Clone(c.fetch.transfers) {
		if !c.wants(t.version) || c.now-t.progress > transferTimeout {
			c.drop(t)

			continue
		}
		c.expireChunks(t)
		c.advanceTransfer(t)
	}
}

func (c *Core) expireChunks(t *transfer) {
	for i := range t.chunks {
		k := &t.chunks[i]
		if k.data != nil || k.expires == 0 || c.now < k.expires {
			continue
		}
		c.free(t, i)
		c.counters.ChunkTimeouts++
		t.pause(k.asked, c.now+busyFor)
	}
}

// pause keeps a source out of use for a while.
func (t *transfer) pause(a netip.AddrPort, until time.Duration) {
	if s := t.source(a); s != nil {
		s.from = until
	}
}

// advanceTransfer asks for the next chunks as far as window and budget allow.
func (c *Core) advanceTransfer(t *transfer) {
	for t.open < window {
		n := min(perRequest, window-t.open)
		for n > 0 && !c.budget.allows(classBulk, n*chunkCost) {
			n--
		}
		indexes := t.unasked(c, n)
		a, ok := c.chooseSource(t)
		if len(indexes) == 0 || !ok {
			return
		}
		for _, i := range indexes {
			t.chunks[i].asked = a
			t.chunks[i].expires = c.now + chunkTimeout
		}
		t.open += len(indexes)
		c.budget.expected += len(indexes) * chunkCost
		c.send(classSmall, a, ChunkRequest{
			Version: t.version,
			Indexes: indexes,
		})
		// A source has one request at a time, so that all sources are used.
		t.pause(a, c.now+busyFor)
	}
}

// unasked returns up to n chunks to ask for, in random order, so that nodes
// that fetch the same ticket have different chunks to serve to each other.
func (t *transfer) unasked(c *Core, n int) []uint32 {
	indexes := []uint32{}
	if n == 0 {
		return indexes
	}
	for _, i := range c.random.Perm(len(t.chunks)) {
		if k := t.chunks[i]; k.data == nil && k.expires == 0 && len(indexes) < n {
			indexes = append(indexes, uint32(i))
		}
	}

	return indexes
}

// free ends the wait for a chunk.
func (c *Core) free(t *transfer, i int) {
	if t.chunks[i].expires == 0 {
		return
	}
	t.chunks[i].expires = 0
	t.open--
	c.budget.expected -= chunkCost
}

// drop ends a transfer.
func (c *Core) drop(t *transfer) {
	for i := range t.chunks {
		c.free(t, i)
	}
	c.fetch.transfers = slices.DeleteFunc(c.fetch.transfers, func(o *transfer) bool { return o == t })
}

// chooseSource returns a random source that isn't busy.
func (c *Core) chooseSource(t *transfer) (netip.AddrPort, bool) {
	ready := []netip.AddrPort{}
	for _, s := range t.sources {
		if c.now >= s.from {
			ready = append(ready, s.addr)
		}
	}
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}

	return pick(c.random, ready), true
}

func (c *Core) onChunkRequest(from netip.AddrPort, m ChunkRequest) {
	if len(m.Indexes) > MaxIndexes {
		c.counters.InvalidWire++

		return
	}

	refused := ChunkRefused{
		Version: m.Version,
		Gone:    c.store.body(m.Version) == nil && c.transfer(m.Version) == nil,
	}
	for _, i := range m.Indexes {
		k := c.chunk(m, i)
		if k.Data == nil || !c.send(classBulk, from, k) {
			refused.Indexes = append(refused.Indexes, i)
		}
	}
	if len(refused.Indexes) > 0 {
		c.counters.ChunksRefused += uint64(len(refused.Indexes))
		c.send(classSmall, from, refused)
	}
}

// chunk returns a chunk of a held ticket, or of one that is being fetched.
func (c *Core) chunk(m ChunkRequest, i uint32) Chunk {
	k := Chunk{
		Version: m.Version,
		Index:   i,
	}
	start := int(i) * ChunkBytes
	b := c.store.body(m.Version)
	t := c.transfer(m.Version)
	switch {
	case start < len(b):
		k.Size = uint32(len(b))
		k.Data = b[start:min(start+ChunkBytes, len(b))]
	case b == nil && t != nil && int(i) < len(t.chunks):
		k.Size = uint32(t.size)
		k.Data = t.chunks[i].data
	}

	return k
}

func (c *Core) onChunkRefused(from netip.AddrPort, m ChunkRefused) {
	t := c.transfer(m.Version)
	if t == nil || len(m.Indexes) > MaxIndexes {
		return
	}
	for _, i := range m.Indexes {
		if int(i) < len(t.chunks) && t.chunks[i].asked == from {
			c.free(t, int(i))
		}
	}
	t.pause(from, c.now+busyFor)
	if m.Gone {
		t.remove(from)
	}
	c.advanceTransfer(t)
}

func (c *Core) onChunk(from netip.AddrPort, m Chunk) {
	t := c.transfer(m.Version)
	if t == nil || int(m.Index) >= len(t.chunks) || int(m.Size) != t.size {
		return
	}
	k := &t.chunks[m.Index]
	if len(m.Data) != t.length(int(m.Index)) || k.data != nil {
		return
	}

	k.data = m.Data
	c.free(t, int(m.Index))
	t.left--
	t.progress = c.now
	t.pause(from, c.now)
	if !t.announced {
		t.announced = true
		c.announce(from, t)
	}
	if t.left > 0 {
		c.advanceTransfer(t)

		return
	}
	c.finish(from, t)
}

// announce offers a ticket as soon as its first chunk can be served.
func (c *Core) announce(except netip.AddrPort, t *transfer) {
	for _, a := range c.choose(pushFanout, except) {
		c.send(classSmall, a, Announce{
			Version: t.version,
			Size:    uint32(t.size),
			Urgent:  t.urgent,
		})
	}
}

// length returns the length of chunk i.
func (t *transfer) length(i int) int {
	return min(ChunkBytes, t.size-i*ChunkBytes)
}

func (c *Core) finish(from netip.AddrPort, t *transfer) {
	body := make([]byte, 0, t.size)
	for _, k := range t.chunks {
		body = append(body, k.data...)
	}
	c.drop(t)
	c.accept(from, t.version, body)
}
