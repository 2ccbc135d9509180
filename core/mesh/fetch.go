package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

const (
	maxSources = 8
	// maxOpenChunks is the number of chunks of a transfer that are asked for at a time.
	maxOpenChunks = 8
	// maxChunksPerRequest is the number of chunks that one source is asked for at a time.
	maxChunksPerRequest = 4
	// chunkCostBytes is the cost of receiving a chunk.
	chunkCostBytes = ChunkBytes + headerBytes
	// maxOwnReserveBytes bounds the budget in bytes that is kept for the own chunks while
	// others are served: half of the burst, because each chunk that a node gets
	// has to be sent once by some node.
	maxOwnReserveBytes = BudgetBurst / 2
	// chunkTimeout is when a chunk is asked for again, from another source.
	chunkTimeout = 700 * time.Millisecond
	// unansweredPause leaves a source that was asked alone until it answers.
	unansweredPause = 400 * time.Millisecond
	// minBusyPause and maxBusy bound the pause of a source whose byte budget is used
	// up; it doubles each time, because refusals use up the budget of both.
	minBusyPause = time.Second
	maxBusyPause = 8 * time.Second
	// transferTimeout ends a transfer that gets no chunk.
	transferTimeout = 15 * time.Second
	// refetchInterval is how long a small ticket is not asked for again.
	refetchInterval  = 500 * time.Millisecond
	maxRecentFetches = 1024
	// smallTicketBytes is about the cost of a small ticket.
	smallTicketBytes = 256
)

type source struct {
	addr netip.AddrPort
	// from is when the source may be asked again.
	from time.Duration
	// busyPause is the last pause after a refusal for lack of budget.
	busyPause time.Duration
	// have are the chunks that the source is known to hold; nil means all.
	have bitmap
}

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
	// announced is set when others were told that chunks can be served.
	announced bool
	chunks    []chunkState
	missing   int
	// openChunks counts the chunks that were asked for and are to come.
	openChunks   int
	sources      []source
	lastProgress time.Duration
}

// fetches are the tickets that the core is about to get.
type fetches struct {
	transfers []*transfer
	refetchAt map[ticket.Version]time.Duration
}

// resume gives transfers that a pause interrupted time to go on.
func (f *fetches) resume(c *Core) {
	f.refetchAt = nil
	for _, t := range f.transfers {
		t.lastProgress = c.now
	}
}

// requestTickets asks a node for tickets, unless another node was asked just now.
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

// addSource notes that a node can serve a ticket that is being fetched.
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
	// A source that refused several times gives way.
	worst := slices.MaxFunc(t.sources, func(a, b source) int {
		return cmp.Compare(a.from, b.from)
	})
	if worst.busyPause >= maxBusyPause {
		*t.source(worst.addr) = n
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

func (t *transfer) removeSource(a netip.AddrPort) {
	t.sources = slices.DeleteFunc(t.sources, func(s source) bool { return s.addr == a })
}
