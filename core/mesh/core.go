package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

// Core is the control plane of one process. It handles messages and returns
// commands, which the runtime executes. It is not safe for concurrent use.
type Core struct {
	options      Options
	random       *rand.Rand
	state        ticket.State
	counters     Counters
	budget       budget
	view         view
	index        index
	store        store
	confirm      confirmation
	exchange     exchanges
	fetch        fetches
	readers      readers
	suspicions   suspicions
	urgentPushes []push

	started  bool
	now      time.Duration
	lastTick time.Duration
	// changed is set when a Publish is due.
	changed bool
	// commands are the result of the current Update.
	commands []Command
}

// New returns a core without state or peers.
func New(o Options) *Core {
	if o.Parse == nil {
		o.Parse = ticket.Parse
	}
	if o.Compress == nil {
		o.Compress = Compress
	}
	c := &Core{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, o.Self.Incarnation)),
	}
	c.budget.tokens = BudgetBurst

	return c
}

// Update handles one message and returns the commands that the runtime must
// execute. now is a monotonic time; all calls use the same clock.
func (c *Core) Update(now time.Duration, m Message) []Command {
	c.commands = nil
	c.advance(now)

	switch m := m.(type) {
	case Tick:
		c.tick()
	case Received:
		c.receive(m)
	case ConfigRead:
		c.configRead(m)
	case ConfigFailed:
		c.configFailed()
	case VMsListed:
		c.vmsListed(m)
	case LocalSuspect:
		c.localSuspicion(m.Target, m.Incarnation, true)
	case LocalAlive:
		c.localSuspicion(m.Target, m.Incarnation, false)
	}

	if c.changed {
		c.changed = false
		c.commands = append(c.commands, Publish{})
	}

	return c.commands
}

// advance moves the clock. It detects a pause of the process before the message
// is handled.
func (c *Core) advance(now time.Duration) {
	if !c.started {
		c.start(now)
	}
	c.now = max(now, c.now)
	c.budget.refill(c.now)
	if c.now-c.lastTick > MaxTickGap {
		c.resume()
		c.lastTick = c.now
	}
}

func (c *Core) start(now time.Duration) {
	c.started = true
	c.now = now
	c.lastTick = now
	c.budget.refilledAt = now
	c.confirm.resumedAt = now
	c.readers.start(c)
	c.view.nextProbe = now
}

// tick runs all timers.
func (c *Core) tick() {
	c.lastTick = c.now
	c.flush()
	c.pushTick()
	c.exchangeTick()
	c.fetchTick()
	c.readerTick()
	c.suspicionTick()
	c.confirmTick()
}

// receive charges a message to the byte budget and handles it.
func (c *Core) receive(m Received) {
	n := m.Body.Bytes()
	c.budget.spend(n)
	c.counters.BytesReceived += uint64(n)
	c.counters.MessagesReceived++
	c.view.heard(m.From, c.now)

	switch b := m.Body.(type) {
	case Digest:
		c.onDigest(m.From, b)
	case DigestAck:
		c.onDigestAck(m.From, b)
	case Summary:
		c.onRanges(m.From, b.Ranges, int(b.AvailableBytes))
	case Fetch:
		c.onFetch(m.From, b)
	case Announce:
		c.onAnnounce(m.From, b)
	case Body:
		c.onBody(m.From, b)
	case ChunkRequest:
		c.onChunkRequest(m.From, b)
	case Chunk:
		c.onChunk(m.From, b)
	case ChunkRefused:
		c.onChunkRefused(m.From, b)
	case Suspicions:
		c.onSuspicions(b.Items)
	}
}

// State returns the merged state. It is only valid until the next Update.
func (c *Core) State() *ticket.State {
	return &c.state
}

// Counters returns a copy of the counters.
func (c *Core) Counters() Counters {
	return c.counters
}

// Peers returns the peers of the partial view, ordered by address.
func (c *Core) Peers() []Node {
	nodes := []Node{}
	for _, p := range c.view.peers {
		nodes = append(nodes, p.node)
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return a.Addr.Compare(b.Addr)
	})

	return nodes
}

// empty reports whether the core has no state yet.
func (c *Core) empty() bool {
	return c.state.Highest() == 0
}

// pick returns a random element of s, which must not be empty.
func pick[T any](r *rand.Rand, s []T) T {
	return s[r.IntN(len(s))]
}

// jitter returns d with a random deviation of at most a tenth.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration((c.random.Float64()-0.5)*0.2*float64(d))
}
