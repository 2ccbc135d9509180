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
	// beatEvery is the time between two beats of a reader.
	beatEvery = time.Second
	// candidatesPerZone is the number of nodes whose beats a zone passes on.
	// The next ones are known when a reader dies, so that only one takes over.
	candidatesPerZone = 6
	// readerSilence is when a reader without a new beat counts as gone. Gossip
	// takes about 20 s to pass a beat to all nodes of a zone of 500.
	readerSilence = 45 * time.Second
	// unheardFor is when a node that has heard of no reader may read on its own.
	unheardFor = 10 * time.Second
	// electAfter is how long the known candidates must stay the same before a
	// node thinks itself a reader, so that a starting zone doesn't read all at once.
	electAfter = 1500 * time.Millisecond
	// settleAfter is when a reader is certain enough for long blocking queries,
	// which can't be withdrawn; before that it uses short ones.
	settleAfter = 15 * time.Second
	shortWait   = 5 * time.Second
	// ConfigWait is how long a reader's blocking query waits.
	ConfigWait = 60 * time.Second
	// fallbackEvery bounds the reads of a node that isn't a reader.
	fallbackEvery = 60 * time.Second
	// readGap bounds the rate of a reader's reads.
	readGap = 500 * time.Millisecond
	// readTimeout is when a read without an answer is given up.
	readTimeout = ConfigWait + 15*time.Second
	// maxGone bounds the remembered readers that fell silent.
	maxGone    = 32
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	listEvery  = 30 * time.Second
)

type beatEntry struct {
	beat  Beat
	rank  uint64
	fresh time.Duration
}

type readers struct {
	// known are the best readers of the own zone by rank, without this node.
	known []beatEntry
	// gone are the last beats of readers that fell silent.
	gone     []Beat
	turn     int
	before   [readersPerZone]netip.AddrPort
	elected  time.Duration
	lastSeen time.Duration
	nextPoll time.Duration
	nextRead time.Duration
	// asked is the time of the open read, or zero.
	asked   time.Duration
	reading bool
	// waited tells that a first read succeeded, so that the next one may block.
	waited   bool
	failures int
	nextList time.Duration
	// candidate tells that this node is among the first candidatesPerZone,
	// reader that it is among the first readersPerZone.
	candidate bool
	reader    bool
	since     time.Duration
}

func (r *readers) start(c *Core) {
	r.elected = c.now + electAfter
	r.lastSeen = c.now
	r.nextList = c.now
	r.nextPoll = c.now + unheardFor + time.Duration(c.random.Int64N(int64(unheardFor)))
}

// rank is the node's rendezvous hash in its zone; the highest ones read.
func rank(zone string, a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary()

	return siphash.Hash(0, 1, append(b, zone...))
}

// Reader reports whether this node is one of the readers of its zone.
func (c *Core) Reader() bool {
	return c.readers.reader
}

// hear merges signs of life of readers.
func (r *readers) hear(c *Core, beats []Beat) {
	for i, b := range beats {
		if i < MaxBeats && b.Addr != c.options.Self.Addr && b.Addr.IsValid() {
			r.hearOne(c, b)
		}
	}
	slices.SortFunc(r.known, func(a, b beatEntry) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), a.beat.Addr.Compare(b.beat.Addr))
	})
	r.known = r.known[:min(len(r.known), candidatesPerZone)]
	if best := r.best(); best != r.before {
		r.before = best
		r.elected = max(r.elected, c.now+electAfter)
	}
}

// best returns the addresses of the best known candidates.
func (r *readers) best() [readersPerZone]netip.AddrPort {
	var best [readersPerZone]netip.AddrPort
	for i := range min(len(r.known), readersPerZone) {
		best[i] = r.known[i].beat.Addr
	}

	return best
}

func (r *readers) hearOne(c *Core, b Beat) {
	e := beatEntry{
		beat:  b,
		rank:  rank(c.options.Self.Zone, b.Addr),
		fresh: c.now,
	}
	// Old beats of a reader that is gone still go round for a while.
	if slices.ContainsFunc(r.gone, func(g Beat) bool { return g.Addr == b.Addr && !b.newer(g) }) {
		return
	}
	i := slices.IndexFunc(r.known, func(k beatEntry) bool { return k.beat.Addr == b.Addr })
	if i < 0 {
		r.known = append(r.known, e)
		r.lastSeen = c.now

		return
	}
	if b.newer(r.known[i].beat) {
		r.known[i] = e
		r.lastSeen = c.now
	}
}

func (b Beat) newer(o Beat) bool {
	return cmp.Or(cmp.Compare(b.Incarnation, o.Incarnation), cmp.Compare(b.Count, o.Count)) > 0
}

// someBeats returns n beats of the best candidates that this node knows, in turn.
func (c *Core) someBeats(n int) []Beat {
	all := c.beats()
	beats := []Beat{}
	for range min(n, len(all)) {
		c.readers.turn++
		beats = append(beats, all[c.readers.turn%len(all)])
	}

	return beats
}

// beats returns the best candidates that this node knows, itself included.
func (c *Core) beats() []Beat {
	beats := []Beat{}
	if c.readers.candidate {
		beats = append(beats, Beat{
			Addr:        c.options.Self.Addr,
			Incarnation: c.options.Self.Incarnation,
			Count:       uint64(c.now / beatEvery),
		})
	}
	for _, k := range c.readers.known {
		if len(beats) < candidatesPerZone {
			beats = append(beats, k.beat)
		}
	}

	return beats
}

func (c *Core) readerTick() {
	r := &c.readers
	r.expire(c.now)
	c.elect()
	if c.now >= r.nextList {
		r.nextList = c.now + c.jitter(listEvery)
		c.out = append(c.out, ListVMs{})
	}
	if r.reading && c.now-r.asked > readTimeout {
		c.configFailed()
	}
	if !r.reading {
		c.readTick()
	}
}

// expire forgets readers that are silent.
func (r *readers) expire(now time.Duration) {
	r.known = slices.DeleteFunc(r.known, func(k beatEntry) bool {
		if now-k.fresh <= readerSilence {
			return false
		}
		if len(r.gone) >= maxGone {
			r.gone = slices.Delete(r.gone, 0, 1)
		}
		r.gone = append(r.gone, k.beat)

		return true
	})
}

// elect decides whether this node is among the first of its zone.
func (c *Core) elect() {
	r := &c.readers
	own := rank(c.options.Self.Zone, c.options.Self.Addr)
	better := 0
	for _, k := range r.known {
		if k.rank > own {
			better++
		}
	}
	was := r.reader
	r.candidate = better < candidatesPerZone
	r.reader = better < readersPerZone && c.now >= r.elected
	if r.reader && !was {
		r.since = c.now
		r.nextRead = c.now
	}
}

func (c *Core) readTick() {
	r := &c.readers
	if r.reader {
		if c.now >= r.nextRead {
			c.read(r.waited)
		}

		return
	}
	r.waited = false
	if c.now-r.lastSeen >= unheardFor && c.now >= r.nextPoll {
		c.read(false)
	}
}

func (c *Core) read(wait bool) {
	r := &c.readers
	r.reading = true
	r.asked = c.now
	r.nextPoll = c.now + fallbackEvery + time.Duration(c.random.Int64N(int64(unheardFor)))
	m := ReadConfig{}
	switch {
	case wait && c.now-r.since >= settleAfter:
		m.Wait = ConfigWait
	case wait:
		m.Wait = shortWait
	}
	c.out = append(c.out, m)
}

func (c *Core) configRead(m ConfigRead) {
	r := &c.readers
	c.counters.ConfigReads++
	r.reading = false
	r.waited = true
	r.failures = 0
	r.nextRead = c.now + readGap
	for _, t := range m.Texts {
		c.merge(netip.AddrPort{}, t, nil)
	}
	c.confirmByConfig()
}

// confirmByConfig confirms the view of a node that found no peer with a
// confirmed view: the configuration service may be stale, so peers come first.
func (c *Core) confirmByConfig() {
	k := &c.confirm
	waited := c.now-k.since >= configConfirmsAfter
	if c.empty() || !waited || k.answered > 0 || c.readers.asked < k.since {
		return
	}
	k.synced = true
	c.renew(c.now + Lease)
}

func (c *Core) configFailed() {
	r := &c.readers
	if !r.reading {
		return
	}
	c.counters.ConfigFailures++
	r.reading = false
	r.waited = false
	d := min(minBackoff<<min(r.failures, 10), maxBackoff)
	r.failures++
	r.nextRead = c.now + d/2 + time.Duration(c.random.Int64N(int64(d)))
}
