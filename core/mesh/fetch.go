package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

const (
	// maxSources bounds the sources of a transfer.
	maxSources = 8
	// maxOpenChunks bounds the chunks of a transfer that are requested at a
	// time.
	maxOpenChunks = 8
	// maxChunksPerRequest bounds the chunks that one source is asked for at a
	// time.
	maxChunksPerRequest = 4
	// chunkCostBytes is the cost of receiving a chunk, headers included.
	chunkCostBytes = ChunkBytes + headerBytes
	// maxOwnReserveBytes bounds the budget that is kept for a node's own
	// missing chunks while it serves others. It is half of the burst, because
	// each chunk that a node receives must be sent once by some node.
	maxOwnReserveBytes = BudgetBurst / 2
	// chunkTimeout is how long a requested chunk is awaited before it is
	// requested again, from another source.
	chunkTimeout = 700 * time.Millisecond
	// unansweredPause is the minimum time between two requests to a source that
	// has not answered the first one.
	unansweredPause = 400 * time.Millisecond
	// minBusyPause and maxBusyPause bound the pause of a source whose byte
	// budget is used up. The pause doubles with each refusal, because refusals
	// use up the budget of both sides.
	minBusyPause = time.Second
	maxBusyPause = 8 * time.Second
	// transferTimeout is how long a transfer may go without a new chunk.
	transferTimeout = 15 * time.Second
	// refetchInterval is the minimum time between two requests for a small
	// ticket.
	refetchInterval = 500 * time.Millisecond
	// maxRecentFetches bounds the tickets whose last request is remembered;
	// beyond it all are forgotten.
	maxRecentFetches = 1024
	// smallTicketBytes is about the cost of receiving a small ticket.
	smallTicketBytes = 256
)

// source is a node that serves a ticket, at least in part.
type source struct {
	addr netip.AddrPort
	// from is the earliest time of the next request to the source.
	from time.Duration
	// busyPause is the last pause after a refusal for lack of budget; zero
	// after a chunk.
	busyPause time.Duration
	// have is the set of chunks that the source is known to hold.
	have bitmap
}

// chunkState is one chunk of a transfer. data is nil until the chunk arrives,
// and expires is zero while no request for it is open.
type chunkState struct {
	data          []byte
	requestedFrom netip.AddrPort
	expires       time.Duration
}

// transfer fetches one large ticket. Chunks that have arrived are served to
// other nodes at once, so that uploads don't wait for complete copies.
type transfer struct {
	version ticket.Version
	size    int
	urgent  bool
	// announced is set once other nodes were informed that chunks can be served.
	announced bool
	chunks    []chunkState
	// missing counts the chunks that have not arrived.
	missing int
	// openChunks counts the chunks that were requested and have not arrived.
	openChunks int
	sources    []source
	// lastProgress is when the transfer started, last received a chunk, or
	// resumed after a pause.
	lastProgress time.Duration
}

// fetches are the tickets that were requested and have not arrived.
type fetches struct {
	// transfers are those that come in chunks.
	transfers []*transfer
	// refetchAt is the earliest time of the next request for each small ticket.
	refetchAt map[ticket.Version]time.Duration
}

// resume gives transfers that a pause interrupted time to continue.
func (f *fetches) resume(c *Core) {
	f.refetchAt = nil
	for _, t := range f.transfers {
		t.lastProgress = c.now
	}
}

// requestTickets requests tickets from a node as far as the budget allows,
// except those that were requested within refetchInterval.
func (c *Core) requestTickets(from netip.AddrPort, want []ticket.Version) {
	f := &c.fetch
	if len(f.refetchAt) > maxRecentFetches {
		f.refetchAt = nil
	}
	if f.refetchAt == nil {
		f.refetchAt = map[ticket.Version]time.Duration{}
	}

	ask := []ticket.Version{}
	for _, v := range want {
		if c.now < f.refetchAt[v] || len(ask) >= MaxItems || !c.budget.allows(priorityBulk, (len(ask)+1)*smallTicketBytes) {
			continue
		}
		f.refetchAt[v] = c.now + refetchInterval
		ask = append(ask, v)
	}
	if len(ask) > 0 {
		c.send(priorityNormal, from, Fetch{
			Versions: ask,
		})
	}
}

// onAnnounce starts a transfer of a ticket that the core lacks, or adds a
// source to it.
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
	t.updateSource(from, m.Have)
	c.requestChunks(t)
}

// addSource records that a node can serve a ticket that is being fetched.
func (c *Core) addSource(v ticket.Version, from netip.AddrPort) {
	if t := c.transfer(v); t != nil {
		t.updateSource(from, nil)
		c.requestChunks(t)
	}
}

// pending returns the versions that are being fetched in chunks.
func (c *Core) pending() []ticket.Version {
	versions := []ticket.Version{}
	for _, t := range c.fetch.transfers {
		versions = append(versions, t.version)
	}

	return versions
}

// servable returns those of versions that the core can serve, at least in part.
func (c *Core) servable(versions []ticket.Version) []ticket.Version {
	servable := []ticket.Version{}
	for _, v := range versions {
		t := c.transfer(v)
		if c.store.body(v) != nil || t != nil && t.missing < len(t.chunks) {
			servable = append(servable, v)
		}
	}

	return servable
}

// highestKnown returns the highest ticket number that is held or being fetched.
func (c *Core) highestKnown() uint64 {
	n := c.state.Highest()
	for _, t := range c.fetch.transfers {
		n = max(n, t.version.Number)
	}

	return n
}

func (c *Core) transfer(v ticket.Version) *transfer {
	for _, t := range c.fetch.transfers {
		if t.version == v {
			return t
		}
	}

	return nil
}

// newTransfer starts a transfer. It returns nil if MaxPending are open.
func (c *Core) newTransfer(m Announce) *transfer {
	if len(c.fetch.transfers) >= MaxPending {
		return nil
	}
	n := (int(m.Size) + ChunkBytes - 1) / ChunkBytes
	t := &transfer{
		version:      m.Version,
		size:         int(m.Size),
		urgent:       m.Urgent,
		chunks:       make([]chunkState, n),
		missing:      n,
		lastProgress: c.now,
	}
	c.fetch.transfers = append(c.fetch.transfers, t)

	return t
}

// updateSource adds a source or updates the set of chunks that it holds.
func (t *transfer) updateSource(a netip.AddrPort, have bitmap) {
	for i := range t.sources {
		if t.sources[i].addr == a {
			t.sources[i].have = have

			return
		}
	}
	n := source{
		addr: a,
		have: have,
	}
	if len(t.sources) < maxSources {
		t.sources = append(t.sources, n)

		return
	}
	// If all places are taken, the source that is paused longest is replaced,
	// provided that it has refused several times.
	worst := slices.MaxFunc(t.sources, func(a, b source) int {
		return cmp.Compare(a.from, b.from)
	})
	if worst.busyPause >= maxBusyPause {
		*t.source(worst.addr) = n
	}
}

// source returns the source with address a, or nil.
func (t *transfer) source(a netip.AddrPort) *source {
	for i := range t.sources {
		if t.sources[i].addr == a {
			return &t.sources[i]
		}
	}

	return nil
}

func (t *transfer) removeSource(a netip.AddrPort) {
	t.sources = slices.DeleteFunc(t.sources, func(s source) bool { return s.addr == a })
}
