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
	// readerSilence is when a reader without a new beat counts as gone, and
	// when a node that has heard of no reader may read on its own.
	readerSilence = 10 * time.Second
	// electAfter is how long a new node listens before it thinks itself a
	// reader, so that a starting zone doesn't read all at once.
	electAfter = 2 * time.Second
	// ConfigWait is how long a reader's blocking query waits.
	ConfigWait = 60 * time.Second
	// fallbackEvery bounds the reads of a node that isn't a reader.
	fallbackEvery = 60 * time.Second
	// readGap bounds the rate of a reader's reads.
	readGap = 500 * time.Millisecond
	// readTimeout is when a read without an answer is given up.
	readTimeout  = ConfigWait + 15*time.Second
	minBackoff   = time.Second
	maxBackoff   = 30 * time.Second
	listInterval = 30 * time.Second
)

type beatEntry struct {
	beat  Beat
	rank  uint64
	fresh time.Duration
}

type readers struct {
	// known are the best readers of the own zone by rank, without this node.
	known    []beatEntry
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
	// candidate tells that this node is among the first of its zone, reader
	// that it has been long enough to act on it.
	candidate bool
	reader    bool
}

func (r *readers) start(c *Core) {
	r.elected = c.now + electAfter + time.Duration(c.random.Int64N(int64(time.Second)))
	r.lastSeen = c.now
	r.nextList = c.now
	r.nextPoll = c.now + readerSilence + time.Duration(c.random.Int64N(int64(readerSilence)))
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
	r.known = r.known[:min(len(r.known), readersPerZone)]
}

func (r *readers) hearOne(c *Core, b Beat) {
	e := beatEntry{
		beat:  b,
		rank:  rank(c.options.Self.Zone, b.Addr),
		fresh: c.now,
	}
	i := slices.IndexFunc(r.known, func(k beatEntry) bool { return k.beat.Addr == b.Addr })
	if i < 0 {
		r.known = append(r.known, e)
		r.lastSeen = c.now

		return
	}
	old := r.known[i].beat
	if cmp.Or(cmp.Compare(b.Incarnation, old.Incarnation), cmp.Compare(b.Count, old.Count)) > 0 {
		r.known[i] = e
		r.lastSeen = c.now
	}
}

// beats returns the best readers that this node knows, itself included.
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
		if len(beats) < MaxBeats {
			beats = append(beats, k.beat)
		}
	}

	return beats
}

func (c *Core) readerTick() {
	r := &c.readers
	r.known = slices.DeleteFunc(r.known, func(k beatEntry) bool {
		return c.now-k.fresh > readerSilence
	})
	c.elect()
	if c.now >= r.nextList {
		r.nextList = c.now + c.jitter(listInterval)
		c.out = append(c.out, ListVMs{})
	}
	if r.reading && c.now-r.asked > readTimeout {
		c.configFailed()
	}
	if !r.reading {
		c.readTick()
	}
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
	r.candidate = better < readersPerZone
	r.reader = r.candidate && c.now >= r.elected
	if r.reader && !was {
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
	if c.now-r.lastSeen >= readerSilence && c.now >= r.nextPoll {
		c.read(false)
	}
}

func (c *Core) read(wait bool) {
	r := &c.readers
	r.reading = true
	r.asked = c.now
	r.nextPoll = c.now + fallbackEvery + time.Duration(c.random.Int64N(int64(readerSilence)))
	m := ReadConfig{}
	if wait {
		m.Wait = ConfigWait
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
