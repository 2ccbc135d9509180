package mesh

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

const (
	// maxTransfers bounds the tickets that are fetched in chunks at a time.
	maxTransfers = 4
	maxSources   = 8
	// window is the number of chunks of a transfer that are asked for at a time.
	window = 8
	// chunkTimeout is when a chunk is asked for again, from another source.
	chunkTimeout = 700 * time.Millisecond
	// busyFor keeps a source that refused a chunk out of use.
	busyFor = time.Second
	// transferTimeout ends a transfer that gets no chunk.
	transferTimeout = 15 * time.Second
	// askedFor is how long a small ticket is not asked for again.
	askedFor = 500 * time.Millisecond
	maxAsked = 1024
)

type source struct {
	addr     netip.AddrPort
	from     time.Duration
	timeouts int
}

type chunkState struct {
	data    []byte
	asked   netip.AddrPort
	expires time.Duration
}

// transfer fetches one large ticket.
type transfer struct {
	version  ticket.Version
	size     int
	urgent   bool
	chunks   []chunkState
	left     int
	sources  []source
	progress time.Duration
}

type fetches struct {
	transfers []*transfer
	asked     map[ticket.Version]time.Duration
}

// wake gives transfers that a pause interrupted time to go on.
func (f *fetches) wake(c *Core) {
	f.asked = nil
	for _, t := range f.transfers {
		t.progress = c.now
	}
}

// request asks a node for tickets, unless another node was asked just now.
func (c *Core) request(from netip.AddrPort, want []ticket.Version) {
	f := &c.fetch
	if len(f.asked) > maxAsked {
		f.asked = nil
	}
	if f.asked == nil {
		f.asked = map[ticket.Version]time.Duration{}
	}

	ask := []ticket.Version{}
	for _, v := range want {
		if c.now < f.asked[v] || len(ask) >= MaxItems {
			continue
		}
		f.asked[v] = c.now + askedFor
		ask = append(ask, v)
	}
	if len(ask) > 0 {
		c.send(classSmall, from, Fetch{
			Versions: ask,
		})
	}
}

func (c *Core) onAnnounce(from netip.AddrPort, m Announce) {
	if m.Size <= MaxPushBytes || m.Size > MaxBodyBytes {
		c.counters.InvalidWire++

		return
	}
	if !c.wants(m.Version) {
		return
	}

	t := c.transfer(m.Version)
	if t == nil {
		t = c.newTransfer(m)
	}
	if t == nil || t.size != int(m.Size) {
		return
	}
	t.add(from, c.now)
	c.advanceTransfer(t)
}

func (c *Core) transfer(v ticket.Version) *transfer {
	for _, t := range c.fetch.transfers {
		if t.version == v {
			return t
		}
	}

	return nil
}

func (c *Core) newTransfer(m Announce) *transfer {
	if len(c.fetch.transfers) >= maxTransfers {
		return nil
	}
	n := (int(m.Size) + ChunkBytes - 1) / ChunkBytes
	t := &transfer{
		version:  m.Version,
		size:     int(m.Size),
		urgent:   m.Urgent,
		chunks:   make([]chunkState, n),
		left:     n,
		progress: c.now,
	}
	c.fetch.transfers = append(c.fetch.transfers, t)

	return t
}

func (t *transfer) add(a netip.AddrPort, now time.Duration) {
	for i := range t.sources {
		if t.sources[i].addr == a {
			t.sources[i].from = now
			t.sources[i].timeouts = 0

			return
		}
	}
	if len(t.sources) < maxSources {
		t.sources = append(t.sources, source{
			addr: a,
		})
	}
}

func (t *transfer) source(a netip.AddrPort) *source {
	for i := range t.sources {
		if t.sources[i].addr == a {
			return &t.sources[i]
		}
	}

	return nil
}

func (t *transfer) remove(a netip.AddrPort) {
	t.sources = slices.DeleteFunc(t.sources, func(s source) bool { return s.addr == a })
}

// fetchTick expires chunk requests and sends new ones.
func (c *Core) fetchTick() {
	f := &c.fetch
	f.transfers = slices.DeleteFunc(f.transfers, func(t *transfer) bool {
		return !c.wants(t.version) || c.now-t.progress > transferTimeout
	})
	for _, t := range f.transfers {
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
		k.expires = 0
		c.counters.ChunkTimeouts++
		if s := t.source(k.asked); s != nil {
			s.timeouts++
			s.from = c.now + busyFor
		}
	}
}

// advanceTransfer asks for the next chunks as far as window and budget allow.
func (c *Core) advanceTransfer(t *transfer) {
	open := 0
	for i := range t.chunks {
		if t.chunks[i].data == nil && t.chunks[i].expires > 0 {
			open++
		}
	}
	// Chunks are asked for in random order, so that nodes that fetch the same
	// ticket do not all depend on the same chunk of one source.
	for _, i := range c.random.Perm(len(t.chunks)) {
		k := &t.chunks[i]
		if k.data != nil || k.expires > 0 {
			continue
		}
		a, ok := c.chooseSource(t)
		if open >= window || !ok || !c.budget.allows(classBulk, (open+1)*(ChunkBytes+headerBytes)) {
			return
		}
		k.asked = a
		k.expires = c.now + chunkTimeout
		open++
		c.send(classSmall, a, ChunkRequest{
			Version: t.version,
			Index:   uint32(i),
		})
	}
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
	b := c.store.body(m.Version)
	start := int(m.Index) * ChunkBytes
	if b == nil || start >= len(b) {
		c.refuse(from, m, true)

		return
	}

	served := c.send(classBulk, from, Chunk{
		Version: m.Version,
		Index:   m.Index,
		Size:    uint32(len(b)),
		Data:    b[start:min(start+ChunkBytes, len(b))],
	})
	if !served {
		c.counters.ChunksRefused++
		c.refuse(from, m, false)
	}
}

func (c *Core) refuse(from netip.AddrPort, m ChunkRequest, gone bool) {
	c.send(classSmall, from, ChunkRefused{
		Version: m.Version,
		Index:   m.Index,
		Gone:    gone,
	})
}

func (c *Core) onChunkRefused(from netip.AddrPort, m ChunkRefused) {
	t := c.transfer(m.Version)
	if t == nil || int(m.Index) >= len(t.chunks) {
		return
	}
	if k := &t.chunks[m.Index]; k.asked == from {
		k.expires = 0
	}
	if s := t.source(from); s != nil {
		s.from = c.now + busyFor
	}
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
	k.expires = 0
	t.left--
	t.progress = c.now
	if s := t.source(from); s != nil {
		s.timeouts = 0
	}
	if t.left > 0 {
		c.advanceTransfer(t)

		return
	}
	c.finish(from, t)
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
	c.fetch.transfers = slices.DeleteFunc(c.fetch.transfers, func(o *transfer) bool { return o == t })
	c.accept(from, t.version, body)
}
