package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dchest/siphash"
)

const (
	// readersPerZone is the number of readers that a zone aims at.
	readersPerZone = 3
	// heartbeatInterval is the time between two heartbeats of a reader.
	heartbeatInterval = time.Second
	// candidatesPerZone is the number of nodes whose heartbeats a zone passes
	// on. The candidates that rank after the readers are known when a reader
	// dies, so that only one of them takes over.
	candidatesPerZone = 6
	// maxReaderSilence is how long a reader without a new heartbeat counts as
	// alive. Gossip takes about 20 s to pass a heartbeat to all nodes of a zone
	// of 500.
	maxReaderSilence = 45 * time.Second
	// noReaderTimeout is how long a node must hear of no reader before it may
	// read by itself.
	noReaderTimeout = 10 * time.Second
	// electionDelay is how long the best known candidates must stay the same
	// before a node becomes a reader, so that the nodes of a starting zone don't
	// all read at once.
	electionDelay = 1500 * time.Millisecond
	// longQueryDelay is how long a node must be a reader before it uses long
	// blocking queries, which can't be cancelled; until then it uses short
	// ones.
	longQueryDelay = 15 * time.Second
	// shortConfigWait is how long a new reader's blocking query waits.
	shortConfigWait = 5 * time.Second
	// ConfigWait is how long a reader's blocking query waits.
	ConfigWait = 60 * time.Second
	// fallbackInterval is the minimum time between two reads of a node that
	// isn't a reader.
	fallbackInterval = 60 * time.Second
	// minReadInterval is the minimum time from the answer to a reader's next
	// read.
	minReadInterval = 500 * time.Millisecond
	// readTimeout is how long a read may go without an answer.
	readTimeout = ConfigWait + 15*time.Second
	// maxSilentReaders bounds the remembered readers that fell silent.
	maxSilentReaders = 32
	// minReadBackoff and maxReadBackoff bound the delay after a failed read
	// before jitter. It doubles with each failure.
	minReadBackoff = time.Second
	maxReadBackoff = 30 * time.Second
	// listInterval is the time between two reads of the list of VMs.
	listInterval = 30 * time.Second
)

// readerEntry is a candidate with its latest heartbeat.
type readerEntry struct {
	heartbeat Heartbeat
	rank      uint64
	// lastHeard is when that heartbeat arrived.
	lastHeard time.Duration
}

// readers elects the readers of the node's zone, and schedules the node's own
// reads of the configuration service and of the list of VMs.
type readers struct {
	// known are the best candidates of the node's zone by rank, without the
	// node itself.
	known []readerEntry
	// silent are the last heartbeats of candidates that fell silent.
	silent []Heartbeat
	// rotation selects the heartbeats that are passed on next.
	rotation int
	// previousBest are the best known candidates as of the last change.
	previousBest [readersPerZone]netip.AddrPort
	// electableAt is the earliest time at which the node may become a reader.
	electableAt time.Duration
	// lastHeartbeat is when the last new heartbeat of any candidate arrived.
	lastHeartbeat time.Duration
	// nextFallback is the earliest read while the node isn't a reader, and
	// nextRead while it is one.
	nextFallback time.Duration
	nextRead     time.Duration
	// readStarted is the start of the last read; reading is set while it is
	// open.
	readStarted time.Duration
	reading     bool
	// mayBlock is set after a reader's first successful read, so that the next
	// one may block.
	mayBlock bool
	failures int
	nextList time.Duration
	// candidate is set if the node is among the first candidatesPerZone of its
	// zone, reader if it is among the first readersPerZone.
	candidate   bool
	reader      bool
	readerSince time.Duration
}

func (r *readers) start(c *Core) {
	r.electableAt = c.now + electionDelay
	r.lastHeartbeat = c.now
	r.nextList = c.now
	r.nextFallback = c.now + noReaderTimeout + time.Duration(c.random.Int64N(int64(noReaderTimeout)))
}

// rank returns a node's rendezvous hash in its zone; the nodes with the highest
// ranks become readers.
func rank(zone string, a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary()

	return siphash.Hash(0, 1, append(b, zone...))
}

// Reader reports whether this node is one of the readers of its zone.
func (c *Core) Reader() bool {
	return c.readers.reader
}

// mergeHeartbeats merges heartbeats from another node of the zone.
func (r *readers) mergeHeartbeats(c *Core, heartbeats []Heartbeat) {
	for i, b := range heartbeats {
		if i < MaxHeartbeats && b.Addr != c.options.Self.Addr && b.Addr.IsValid() {
			r.mergeHeartbeat(c, b)
		}
	}
	slices.SortFunc(r.known, func(a, b readerEntry) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), a.heartbeat.Addr.Compare(b.heartbeat.Addr))
	})
	r.known = r.known[:min(len(r.known), candidatesPerZone)]
	if best := r.best(); best != r.previousBest {
		r.previousBest = best
		r.electableAt = max(r.electableAt, c.now+electionDelay)
	}
}

// best returns the addresses of the best known candidates.
func (r *readers) best() [readersPerZone]netip.AddrPort {
	var best [readersPerZone]netip.AddrPort
	for i := range min(len(r.known), readersPerZone) {
		best[i] = r.known[i].heartbeat.Addr
	}

	return best
}

func (r *readers) mergeHeartbeat(c *Core, h Heartbeat) {
	e := readerEntry{
		heartbeat: h,
		rank:      rank(c.options.Self.Zone, h.Addr),
		lastHeard: c.now,
	}
	// Old heartbeats of a silent reader still circulate for a while.
	if slices.ContainsFunc(r.silent, func(s Heartbeat) bool { return s.Addr == h.Addr && !h.newer(s) }) {
		return
	}
	i := slices.IndexFunc(r.known, func(k readerEntry) bool { return k.heartbeat.Addr == h.Addr })
	if i < 0 {
		r.known = append(r.known, e)
		r.lastHeartbeat = c.now

		return
	}
	if h.newer(r.known[i].heartbeat) {
		r.known[i] = e
		r.lastHeartbeat = c.now
	}
}

func (h Heartbeat) newer(o Heartbeat) bool {
	return cmp.Or(cmp.Compare(h.Incarnation, o.Incarnation), cmp.Compare(h.Count, o.Count)) > 0
}

// nextHeartbeats returns up to n heartbeats of the best candidates that this
// node knows, in turn.
func (c *Core) nextHeartbeats(n int) []Heartbeat {
	known := c.heartbeats()
	heartbeats := []Heartbeat{}
	for range min(n, len(known)) {
		c.readers.rotation++
		heartbeats = append(heartbeats, known[c.readers.rotation%len(known)])
	}

	return heartbeats
}

// heartbeats returns the heartbeats of the best candidates that this node
// knows, its own included.
func (c *Core) heartbeats() []Heartbeat {
	heartbeats := []Heartbeat{}
	if c.readers.candidate {
		heartbeats = append(heartbeats, Heartbeat{
			Addr:        c.options.Self.Addr,
			Incarnation: c.options.Self.Incarnation,
			Count:       uint64(c.now / heartbeatInterval),
		})
	}
	for _, k := range c.readers.known {
		if len(heartbeats) < candidatesPerZone {
			heartbeats = append(heartbeats, k.heartbeat)
		}
	}

	return heartbeats
}

// readerTick updates the readers and starts the reads that are due.
func (c *Core) readerTick() {
	r := &c.readers
	r.expireSilent(c.now)
	c.elect()
	if c.now >= r.nextList {
		r.nextList = c.now + c.jitter(listInterval)
		c.commands = append(c.commands, ListVMs{})
	}
	if r.reading && c.now-r.readStarted > readTimeout {
		c.configFailed()
	}
	if !r.reading {
		c.readTick()
	}
}

// expireSilent removes candidates without a new heartbeat for maxReaderSilence.
func (r *readers) expireSilent(now time.Duration) {
	r.known = slices.DeleteFunc(r.known, func(k readerEntry) bool {
		if now-k.lastHeard <= maxReaderSilence {
			return false
		}
		if len(r.silent) >= maxSilentReaders {
			r.silent = slices.Delete(r.silent, 0, 1)
		}
		r.silent = append(r.silent, k.heartbeat)

		return true
	})
}

// elect decides whether this node is a candidate or a reader of its zone.
func (c *Core) elect() {
	r := &c.readers
	ownRank := rank(c.options.Self.Zone, c.options.Self.Addr)
	better := 0
	for _, k := range r.known {
		if k.rank > ownRank {
			better++
		}
	}
	was := r.reader
	r.candidate = better < candidatesPerZone
	r.reader = better < readersPerZone && c.now >= r.electableAt
	if r.reader && !was {
		r.readerSince = c.now
		r.nextRead = c.now
	}
}

func (c *Core) readTick() {
	r := &c.readers
	if r.reader {
		if c.now >= r.nextRead {
			c.read(r.mayBlock)
		}

		return
	}
	r.mayBlock = false
	if c.now-r.lastHeartbeat >= noReaderTimeout && c.now >= r.nextFallback {
		c.read(false)
	}
}

// read starts a read of the configuration service. wait allows a blocking
// query.
func (c *Core) read(wait bool) {
	r := &c.readers
	r.reading = true
	r.readStarted = c.now
	r.nextFallback = c.now + fallbackInterval + time.Duration(c.random.Int64N(int64(noReaderTimeout)))
	m := ReadConfig{}
	switch {
	case wait && c.now-r.readerSince >= longQueryDelay:
		m.Wait = ConfigWait
	case wait:
		m.Wait = shortConfigWait
	}
	c.commands = append(c.commands, m)
}

func (c *Core) configRead(m ConfigRead) {
	r := &c.readers
	c.counters.ConfigReads++
	r.reading = false
	r.mayBlock = true
	r.failures = 0
	r.nextRead = c.now + minReadInterval
	for _, t := range m.Texts {
		c.mergeText(netip.AddrPort{}, t, nil)
	}
	c.confirmByConfig()
}

// confirmByConfig confirms the view after a read if no peer has confirmed it
// since the start or the last pause. Peers come first, because the
// configuration service may be stale.
func (c *Core) confirmByConfig() {
	k := &c.confirm
	peersHadTime := c.now-k.resumedAt >= peerPrecedenceTime
	if c.empty() || !peersHadTime || k.lastConfirmed > 0 || c.readers.readStarted < k.resumedAt {
		return
	}
	k.synced = true
	c.renewLease(c.now + Lease)
}

// configFailed ends a failed read and delays the next one.
func (c *Core) configFailed() {
	r := &c.readers
	if !r.reading {
		return
	}
	c.counters.ConfigFailures++
	r.reading = false
	r.mayBlock = false
	d := min(minReadBackoff<<min(r.failures, 10), maxReadBackoff)
	r.failures++
	r.nextRead = c.now + d/2 + time.Duration(c.random.Int64N(int64(d)))
}
