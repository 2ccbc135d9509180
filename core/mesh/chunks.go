package mesh

import (
	"net/netip"
	"slices"
	"time"
)

// maxChunksWithHave bounds the chunks of a ticket whose messages carry the set
// of chunks that the sender holds.
const maxChunksWithHave = 256

// bitmap is a set of chunk indexes, one bit each. An empty bitmap is the set of
// all chunks.
type bitmap []byte

func (b bitmap) contains(i int) bool {
	return len(b) == 0 || i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// have returns the set of chunks that have arrived. Without a transfer it
// returns nil, the set of all, because the ticket is complete.
func (t *transfer) have() bitmap {
	if t == nil {
		return nil
	}
	b := make(bitmap, (len(t.chunks)+7)/8)
	for i := range t.chunks {
		if t.chunks[i].data != nil {
			b[i/8] |= 1 << (i % 8)
		}
	}

	return b
}

// fetchTick ends transfers that are obsolete or stalled, expires chunk requests
// and sends new ones.
func (c *Core) fetchTick() {
	for _, t := range slices.Clone(c.fetch.transfers) {
		if !c.wants(t.version) || c.now-t.lastProgress > transferTimeout {
			c.removeTransfer(t)

			continue
		}
		c.expireChunks(t)
		c.requestChunks(t)
	}
}

func (c *Core) expireChunks(t *transfer) {
	for i := range t.chunks {
		k := &t.chunks[i]
		if k.data != nil || k.expires == 0 || c.now < k.expires {
			continue
		}
		c.endRequest(t, i)
		c.counters.ChunkTimeouts++
		t.pauseSource(k.requestedFrom, c.now+minBusyPause)
	}
}

// pauseSource sets the earliest time of the next request to a source.
func (t *transfer) pauseSource(a netip.AddrPort, until time.Duration) {
	if s := t.source(a); s != nil {
		s.from = until
	}
}

// requestChunks requests the next chunks as far as maxOpenChunks and the budget
// allow.
func (c *Core) requestChunks(t *transfer) {
	for _, i := range c.random.Perm(len(t.sources)) {
		s := &t.sources[i]
		n := min(maxChunksPerRequest, maxOpenChunks-t.openChunks, c.budget.available()/chunkCostBytes)
		if n <= 0 {
			return
		}
		if c.now >= s.from {
			c.requestFrom(t, s, n)
		}
	}
}

// requestFrom requests up to n chunks from one source.
func (c *Core) requestFrom(t *transfer, s *source, n int) {
	indexes := t.selectChunks(c, s, n)
	if len(indexes) == 0 {
		return
	}
	for _, i := range indexes {
		t.chunks[i].requestedFrom = s.addr
		t.chunks[i].expires = c.now + chunkTimeout
	}
	t.openChunks += len(indexes)
	c.budget.reservedBytes += len(indexes) * chunkCostBytes
	s.from = c.now + unansweredPause
	c.send(priorityNormal, s.addr, ChunkRequest{
		Version: t.version,
		Indexes: indexes,
	})
}

// selectChunks returns up to n chunks to request from a source, in random
// order, so that nodes that fetch the same ticket hold different chunks to
// serve to each other.
func (t *transfer) selectChunks(c *Core, s *source, n int) []uint32 {
	indexes := []uint32{}
	for _, i := range c.random.Perm(len(t.chunks)) {
		if k := t.chunks[i]; k.data == nil && k.expires == 0 && s.have.contains(i) && len(indexes) < n {
			indexes = append(indexes, uint32(i))
		}
	}

	return indexes
}

// endRequest ends the request for a chunk, if one is open.
func (c *Core) endRequest(t *transfer, i int) {
	if t.chunks[i].expires == 0 {
		return
	}
	t.chunks[i].expires = 0
	t.openChunks--
	c.budget.reservedBytes -= chunkCostBytes
}

// removeTransfer ends a transfer and its open requests.
func (c *Core) removeTransfer(t *transfer) {
	for i := range t.chunks {
		c.endRequest(t, i)
	}
	c.fetch.transfers = slices.DeleteFunc(c.fetch.transfers, func(o *transfer) bool { return o == t })
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
		if k.Data != nil && c.canServe(k) && c.send(priorityBulk, from, k) {
			continue
		}
		refused.Busy = refused.Busy || k.Data != nil
		refused.Indexes = append(refused.Indexes, i)
	}
	if len(refused.Indexes) > 0 {
		c.counters.ChunksRefused += uint64(len(refused.Indexes))
		refused.Have = c.transfer(m.Version).have()
		c.send(priorityNormal, from, refused)
	}
}

// canServe reports whether the budget covers a chunk besides those that the
// node still needs itself. Without this reserve, a node that many others ask
// for chunks might not complete the ticket itself.
func (c *Core) canServe(k Chunk) bool {
	ownBytes := 0
	for _, t := range c.fetch.transfers {
		ownBytes += (t.missing - t.openChunks) * chunkCostBytes
	}

	return k.Bytes()+min(ownBytes, maxOwnReserveBytes) <= c.budget.available()
}

// chunk returns a chunk of a ticket that is held or being fetched. Its Data is
// nil if the core lacks the chunk.
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
		if len(t.chunks) <= maxChunksWithHave {
			k.Have = t.have()
		}
	}

	return k
}

func (c *Core) onChunkRefused(from netip.AddrPort, m ChunkRefused) {
	t := c.transfer(m.Version)
	if t == nil || len(m.Indexes) > MaxIndexes {
		return
	}
	for _, i := range m.Indexes {
		if int(i) < len(t.chunks) && t.chunks[i].requestedFrom == from {
			c.endRequest(t, int(i))
		}
	}
	t.recordRefusal(from, m, c.now)
	c.requestChunks(t)
}

// recordRefusal removes a source that no longer has the ticket, and pauses one
// whose budget is used up.
func (t *transfer) recordRefusal(from netip.AddrPort, m ChunkRefused, now time.Duration) {
	s := t.source(from)
	switch {
	case s == nil:
	case m.Gone:
		t.removeSource(from)
	case m.Busy:
		s.busyPause = min(max(2*s.busyPause, minBusyPause), maxBusyPause)
		s.from = now + s.busyPause
		s.have = m.Have
	default:
		s.from = now
		s.have = m.Have
	}
}

// onChunk stores a chunk, announces the ticket after the first one and
// completes the transfer after the last one.
func (c *Core) onChunk(from netip.AddrPort, m Chunk) {
	t := c.transfer(m.Version)
	if t == nil || int(m.Index) >= len(t.chunks) || int(m.Size) != t.size {
		return
	}
	k := &t.chunks[m.Index]
	if len(m.Data) != t.chunkLength(int(m.Index)) || k.data != nil {
		return
	}

	k.data = m.Data
	c.endRequest(t, int(m.Index))
	t.missing--
	t.lastProgress = c.now
	if s := t.source(from); s != nil {
		s.from = c.now
		s.busyPause = 0
		s.have = m.Have
	}
	if !t.announced {
		t.announced = true
		c.announce(from, t)
	}
	if t.missing > 0 {
		c.requestChunks(t)

		return
	}
	c.finish(from, t)
}

// announce offers a ticket to peers as soon as its first chunk can be served.
func (c *Core) announce(except netip.AddrPort, t *transfer) {
	p := priorityBulk
	if t.urgent {
		p = priorityNormal
	}
	for _, a := range c.choosePeers(pushFanout, except) {
		c.send(p, a, Announce{
			Version: t.version,
			Size:    uint32(t.size),
			Urgent:  t.urgent,
			Have:    t.have(),
		})
	}
}

// chunkLength returns the length of chunk i in bytes.
func (t *transfer) chunkLength(i int) int {
	return min(ChunkBytes, t.size-i*ChunkBytes)
}

// finish joins the chunks of a complete transfer and merges the ticket.
func (c *Core) finish(from netip.AddrPort, t *transfer) {
	body := make([]byte, 0, t.size)
	for _, k := range t.chunks {
		body = append(body, k.data...)
	}
	c.removeTransfer(t)
	c.acceptBody(from, t.version, body)
}
