package mesh

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/klauspost/compress/flate"

	"ibisfold.example/core/ticket"
)

// Sentinel errors of compressed tickets.
const (
	// ErrBody means that a compressed ticket can't be decompressed or exceeds
	// ticket.MaxBytes.
	ErrBody = errors.ConstError("compressed ticket is corrupt or too long")
	// ErrHash means that a ticket isn't the announced one.
	ErrHash = errors.ConstError("ticket doesn't match the announced version")
)

const (
	// maxSeen bounds the remembered hashes of tickets that were merged,
	// superseded or rejected.
	maxSeen = 8192
	// pushFanout is the number of peers that a new ticket is pushed to.
	pushFanout = 6
	// urgentRounds is how often a zone-out ticket is pushed. With 30% loss, one
	// round of six pushes misses about 1.5% of the nodes, and three rounds miss
	// none of 4,440.
	urgentRounds = 3
	// urgentInterval is the time between two of these rounds.
	urgentInterval = 300 * time.Millisecond
	// maxUrgentPushes bounds the zone-out tickets that are being pushed again.
	maxUrgentPushes = 16
	// minPushTokens is the budget below which small tickets are not pushed. A
	// node receives each pushed ticket from about six peers, and the budget
	// would not suffice for a series of them; exchanges spread the rest of a
	// series.
	minPushTokens = BudgetBurst * 3 / 4
)

// store holds the compressed bodies of held tickets, and the hashes of tickets
// that must not be fetched again.
type store struct {
	bodies map[ticket.Version][]byte
	seen   map[uint64]bool
	// seenOrder lists the hashes in seen, oldest first.
	seenOrder []uint64
}

// push is a zone-out ticket that is to be pushed again.
type push struct {
	version    ticket.Version
	roundsLeft int
	next       time.Duration
}

func (s *store) body(v ticket.Version) []byte {
	return s.bodies[v]
}

// markSeen remembers a text hash. Beyond maxSeen it forgets the oldest one.
func (s *store) markSeen(hash uint64) {
	if s.seen == nil {
		s.seen = map[uint64]bool{}
	}
	if s.seen[hash] {
		return
	}
	if len(s.seenOrder) >= maxSeen {
		delete(s.seen, s.seenOrder[0])
		s.seenOrder = s.seenOrder[1:]
	}
	s.seen[hash] = true
	s.seenOrder = append(s.seenOrder, hash)
}

// wants reports whether a ticket is worth fetching.
func (c *Core) wants(v ticket.Version) bool {
	return v.Number > 0 && !c.store.seen[v.Hash] && c.state.Wants(v)
}

// Compress compresses a ticket's text for sending. It returns nil on failure.
func Compress(text []byte) []byte {
	b := &bytes.Buffer{}
	w, err := flate.NewWriter(b, flate.BestCompression)
	if err != nil {
		return nil
	}
	if _, err := w.Write(text); err != nil {
		return nil
	}
	if err := w.Close(); err != nil {
		return nil
	}

	return b.Bytes()
}

// Decompress returns a ticket's text of at most ticket.MaxBytes. Error:
// ErrBody.
func Decompress(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	text, err := io.ReadAll(io.LimitReader(r, ticket.MaxBytes+1))
	if err != nil || len(text) > ticket.MaxBytes {
		return nil, ErrBody
	}

	return text, nil
}

// textHash returns the hash of a ticket's text as its version contains it.
func textHash(text []byte) uint64 {
	sum := sha256.Sum256(text)

	return binary.BigEndian.Uint64(sum[:8])
}

// acceptBody decompresses a ticket from a peer, verifies its hash and merges
// it.
func (c *Core) acceptBody(from netip.AddrPort, v ticket.Version, body []byte) {
	text, err := Decompress(body)
	if err != nil {
		c.counters.InvalidBody++

		return
	}
	if textHash(text) != v.Hash {
		c.counters.InvalidHash++

		return
	}
	c.mergeText(from, text, body)
}

// mergeText parses a ticket, merges it and passes it on. body is the compressed
// text, or nil.
func (c *Core) mergeText(from netip.AddrPort, text, body []byte) {
	hash := textHash(text)
	if c.store.seen[hash] {
		return
	}
	c.store.markSeen(hash)
	t, err := c.options.Parse(text)
	if err != nil {
		c.counters.InvalidTicket++

		return
	}

	changed := c.state.Merge(t)
	c.invalidateIndex()
	if !changed {
		return
	}
	c.counters.Merged++
	c.changed = true
	if body == nil {
		body = c.options.Compress(text)
	}
	c.storeBody(t.Version, body)
	c.push(from, t)
}

// storeBody stores a body and removes those of tickets that are no longer held.
func (c *Core) storeBody(v ticket.Version, body []byte) {
	if c.store.bodies == nil {
		c.store.bodies = map[ticket.Version][]byte{}
	}
	c.store.bodies[v] = body
	for w := range c.store.bodies {
		if c.state.Held(w) == nil {
			delete(c.store.bodies, w)
		}
	}
}

// urgent reports whether a ticket takes a zone out of service.
func urgent(t *ticket.Ticket) bool {
	if t == nil {
		return false
	}
	for _, z := range t.Zones {
		if !z.InService {
			return true
		}
	}

	return false
}

// push pushes a new ticket to peers, and schedules further rounds for a
// zone-out ticket.
func (c *Core) push(from netip.AddrPort, t *ticket.Ticket) {
	c.pushTo(from, t.Version)
	if urgent(t) && len(c.urgentPushes) < maxUrgentPushes {
		c.urgentPushes = append(c.urgentPushes, push{
			version:    t.Version,
			roundsLeft: urgentRounds - 1,
			next:       c.now + urgentInterval,
		})
	}
}

// pushTo sends or announces a ticket to random peers other than except. While
// the budget is low, it leaves small tickets that are not urgent to exchanges.
func (c *Core) pushTo(except netip.AddrPort, v ticket.Version) {
	b := c.store.body(v)
	if c.budget.tokens < minPushTokens && len(b) <= MaxPushBytes && !urgent(c.state.Held(v)) {
		c.exchangeSoon()

		return
	}
	p := priorityNormal
	if len(b) > MaxPushBytes && !urgent(c.state.Held(v)) {
		p = priorityBulk
	}
	for _, a := range c.choosePeers(pushFanout, except) {
		c.send(p, a, c.message(v, b))
	}
}

// pushTick runs the further rounds of zone-out tickets.
func (c *Core) pushTick() {
	remaining := c.urgentPushes[:0]
	for _, p := range c.urgentPushes {
		if c.now >= p.next {
			p.roundsLeft--
			p.next = c.now + urgentInterval
			c.pushTo(netip.AddrPort{}, p.version)
		}
		if p.roundsLeft > 0 {
			remaining = append(remaining, p)
		}
	}
	c.urgentPushes = remaining
}

func (c *Core) onBody(from netip.AddrPort, m Body) {
	if len(m.Data) > MaxPushBytes {
		c.counters.InvalidWire++

		return
	}
	if c.wants(m.Version) {
		c.acceptBody(from, m.Version, m.Data)
	}
}
